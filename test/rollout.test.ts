import test from 'ava';
import type { ExecutionContext } from 'ava';
import { decodeRollout, encodeRolloutState } from '../platform/rollout-formats.js';
import { GatewayRollouts } from '../src/gateway/gateway-rollouts.js';
import { ok } from '../src/result.js';
import { Rollouts } from '../src/rollout/rollouts.js';
import { evaluateVersion } from '../src/rollout/sequential-test.js';
import { ServiceRollout } from '../src/rollout/service-rollout.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import type { DecisionLog } from '../src/telemetry/decision-log.js';
import { backendOf, GatewayHarness } from './support/gateway-harness.js';
import { RolloutFleet } from './support/rollout-fleet.js';
import type { FleetFaults, RolloutRun, VersionBehaviour } from './support/rollout-fleet.js';
import { positionAt } from './support/store-positions.js';
import type { StorePosition } from '../src/cluster/store-position.js';
import type { RolloutState } from '../src/rollout/rollout-order.js';

const ORDER = { service: 's', targetVersion: 'v2', durationMs: 20_000, ...positionAt(5) };
const SEEDS = Array.from({ length: 50 }, (_unused, index) => index + 1);
const MAX_TARGET_SHARE = 0.1;
const TARGET_SLACK = 50;

const GOOD: VersionBehaviour = { badShare: () => 0.02 };
const BAD_AT_ONCE: VersionBehaviour = { badShare: () => 0.4 };
const BAD_LATER: VersionBehaviour = { badShare: (elapsed) => (elapsed < 0.55 ? 0.02 : 0.5) };
const BAD_BEFORE_CUTOVER: VersionBehaviour = {
  badShare: (elapsed) => (elapsed < 0.7 ? 0.02 : 0.5),
};
const BAD_ON_ONE_ROUTE: VersionBehaviour = {
  badShare: (_elapsed, route) => (route === 'second' ? 0.5 : 0.02),
};
const SLOW_VERSION: VersionBehaviour = { badShare: () => 0.95 };

async function runAll(behaviour: VersionBehaviour, faults: FleetFaults): Promise<RolloutRun[]> {
  const runs: RolloutRun[] = [];
  for (const seed of SEEDS) {
    runs.push(await new RolloutFleet(seed, ORDER, behaviour, faults).run());
  }
  return runs;
}

async function assertAllEnd(
  t: ExecutionContext,
  state: 'completed' | 'rolled-back',
  behaviour: VersionBehaviour,
  faults: FleetFaults = {},
): Promise<void> {
  for (const run of await runAll(behaviour, faults)) {
    t.is(run.state, state);
    t.true(run.endedAt < 1, `ended at ${run.endedAt}`);
    t.deepEqual(run.written.slice(0, -1), ['in-progress']);
    t.is(run.oldInFlightAtCompletion, 0);
    if (state === 'rolled-back') {
      t.true(
        run.targetSent <= MAX_TARGET_SHARE * run.sent + TARGET_SLACK,
        `${run.targetSent}/${run.sent}`,
      );
      t.is(run.sentAfterRollbackLimit, 0);
    }
  }
}

test('a rollout of a good version completes before the deadline, after requests at old backends have ended', async (t) => {
  await assertAllEnd(t, 'completed', GOOD);
});

test('a version that is bad from the start is rolled back', async (t) => {
  await assertAllEnd(t, 'rolled-back', BAD_AT_ONCE);
});

test('a version that turns bad later is rolled back within its traffic limit', async (t) => {
  await assertAllEnd(t, 'rolled-back', BAD_LATER);
});

test('a version that turns bad just before the cutover is rolled back', async (t) => {
  await assertAllEnd(t, 'rolled-back', BAD_BEFORE_CUTOVER);
});

test('a version that is bad on one route only is rolled back', async (t) => {
  await assertAllEnd(t, 'rolled-back', BAD_ON_ONE_ROUTE);
});

test('a version that is several times slower is rolled back', async (t) => {
  await assertAllEnd(t, 'rolled-back', SLOW_VERSION);
});

test('gateways whose writes the store rejects do not delay a rollout', async (t) => {
  await assertAllEnd(t, 'completed', GOOD, { rejectedGateways: 4 });
  await assertAllEnd(t, 'rolled-back', BAD_AT_ONCE, { rejectedGateways: 4 });
});

test('a rollout completes if the store is unavailable for the first third of the time', async (t) => {
  await assertAllEnd(t, 'completed', GOOD, { storeUnavailableUntil: 0.33 });
});

test('a bad version stays within its traffic limit while gateways restart', async (t) => {
  await assertAllEnd(t, 'rolled-back', BAD_LATER, { restartAllAt: 0.4 });
});

test('a few failures leave a version good or open, several without a success make it bad', (t) => {
  const inForce = { ended: 500, bad: 10 };
  t.is(evaluateVersion({ ended: 60, bad: 3 }, inForce), 'good');
  t.is(evaluateVersion({ ended: 10, bad: 1 }, inForce), 'open');
  t.is(evaluateVersion({ ended: 6, bad: 6 }, inForce), 'bad');
});

test('failures at both versions do not count against the new one', (t) => {
  t.not(evaluateVersion({ ended: 100, bad: 45 }, { ended: 1_000, bad: 450 }), 'bad');
});

test('a rolled-back version is closed, and a completed one closes the others', (t) => {
  const rollout = new ServiceRollout(ORDER, 'g', 0);
  rollout.applyStatus({ ...ORDER, state: 'rolled-back', ...positionAt(6) });
  t.deepEqual([rollout.versionUse('v1'), rollout.versionUse('v2')], ['open', 'closed']);
  const other = new ServiceRollout(ORDER, 'g', 0);
  other.applyStatus({ ...ORDER, state: 'completed', ...positionAt(6) });
  t.deepEqual([other.versionUse('v1'), other.versionUse('v2')], ['closed', 'open']);
});

test('the state of an earlier order does not apply to a later one', (t) => {
  const rollout = new ServiceRollout(ORDER, 'g', 0);
  rollout.applyStatus({ ...ORDER, state: 'completed', ...positionAt(4) });
  t.is(rollout.state, undefined);
  rollout.applyStatus({ ...ORDER, targetVersion: 'v9', state: 'completed', ...positionAt(8) });
  t.is(rollout.state, undefined);
});

test('a bad verdict reported by one peer closes the version at once', (t) => {
  const rollout = new ServiceRollout(ORDER, 'g', 0);
  for (let index = 0; index < 100; index += 1) {
    rollout.noteSent('v1', 0);
  }
  t.is(rollout.versionUse('v2'), 'limited');
  const report = new ServiceRollout(ORDER, 'peer', 0).peerReport(100);
  rollout.applyPeerReport('peer', { ...report, isBad: true }, 100);
  t.is(rollout.versionUse('v2'), 'closed');
});

test('successes in one step do not mask that the version turns bad in the next', (t) => {
  const rollout = new ServiceRollout(ORDER, 'g', 0);
  const endAt = (nowMs: number, count: number, isBad: boolean) => {
    for (let index = 0; index < count; index += 1) {
      rollout.noteEnded('v1', 'r', false, nowMs);
      rollout.noteEnded('v2', 'r', isBad, nowMs);
    }
  };
  endAt(1_000, 400, false);
  endAt(11_000, 20, true);
  t.is(rollout.versionUse('v2'), 'closed');
  t.true(rollout.peerReport(11_000).isBad);
});

/** Rollouts of one gateway whose service has the given numbers of ready backends. */
function rolloutsWith(
  ready: { target: number; others: number },
  order = ORDER,
  onWrite: (state: RolloutState, follows: StorePosition) => void = () => undefined,
  clock = new VirtualClock(),
): Rollouts {
  const rollouts = new Rollouts(
    'g',
    {
      countReady: () => ready,
      countGateways: () => 1,
      write: (_order, state, follows) => {
        onWrite(state, follows);
        return Promise.resolve(ok(positionAt(1)));
      },
      onWritten: () => undefined,
    },
    clock,
  );
  rollouts.applyOrder(order);
  return rollouts;
}

const OLD_BACKEND = backendOf('old', { version: 'v1' });
const NEW_BACKEND = backendOf('new', { version: 'v2' });

test('removing an order ends its rollout and closes the version while others are ready', (t) => {
  const ready = { target: 1, others: 1 };
  const rollouts = rolloutsWith(ready);
  for (let index = 0; index < 100; index += 1) {
    rollouts.noteSent(OLD_BACKEND);
  }
  t.is(rollouts.versionUse(NEW_BACKEND), 'limited');
  t.false(rollouts.applyOrderRemoval('s', positionAt(ORDER.revision - 1)));
  t.true(rollouts.applyOrderRemoval('s', positionAt(ORDER.revision + 1)));
  t.deepEqual(
    [rollouts.versionUse(OLD_BACKEND), rollouts.versionUse(NEW_BACKEND)],
    ['open', 'closed'],
  );
  t.is(rollouts.peerReports(), undefined);
  ready.others = 0;
  t.is(rollouts.versionUse(NEW_BACKEND), 'open');
  rollouts.applyOrder({ ...ORDER, ...positionAt(ORDER.revision + 2) });
  t.not(rollouts.peerReports(), undefined);
});

test('removing the order of a completed rollout opens every version', (t) => {
  const rollouts = rolloutsWith({ target: 1, others: 1 });
  rollouts.applyStatus({ ...ORDER, state: 'completed', ...positionAt(6) });
  t.deepEqual(
    [rollouts.versionUse(OLD_BACKEND), rollouts.versionUse(NEW_BACKEND)],
    ['closed', 'open'],
  );
  rollouts.applyOrderRemoval('s', positionAt(7));
  t.deepEqual(
    [rollouts.versionUse(OLD_BACKEND), rollouts.versionUse(NEW_BACKEND)],
    ['open', 'open'],
  );
});

test('the old version is used if all backends of the new one are in evacuated zones', (t) => {
  const ready = { target: 0, others: 1 };
  const rollouts = rolloutsWith(ready);
  rollouts.applyStatus({ ...ORDER, state: 'completed', ...positionAt(6) });
  t.is(rollouts.versionUse(OLD_BACKEND), 'open');
  ready.target = 1;
  t.is(rollouts.versionUse(OLD_BACKEND), 'closed');
});

test('backends in evacuated zones do not count as ready backends of a version', (t) => {
  const world = new GatewayHarness(
    backendOf('a', { zone: 'za', version: 'v2' }),
    backendOf('b', { zone: 'zb', version: 'v2' }),
    backendOf('c', { zone: 'zb', version: 'v1' }),
  );
  const log = { write: () => undefined } as unknown as DecisionLog;
  const { rollouts } = new GatewayRollouts({
    incarnation: 'g',
    directory: world.directory,
    adapter: { writeRolloutState: () => Promise.resolve(ok(positionAt(1))) },
    clock: world.clock,
    log,
    countGateways: () => 1,
    isEvacuated: (zone) => world.isEvacuated(zone),
  });
  rollouts.applyOrder(ORDER);
  rollouts.applyStatus({ ...ORDER, state: 'completed', ...positionAt(6) });
  t.is(rollouts.versionUse(OLD_BACKEND), 'closed');
  world.order('zb', true);
  t.is(rollouts.versionUse(OLD_BACKEND), 'closed');
  world.order('za', true);
  t.is(rollouts.versionUse(OLD_BACKEND), 'open');
});

test('rollout orders and states are decoded and encoded in the platform’s format', (t) => {
  const value = JSON.stringify({ service: 's', targetVersion: 'v2', durationS: 12 });
  t.deepEqual(decodeRollout({ key: 'op/rollout/s', ...positionAt(7), value }), {
    kind: 'rollout-order',
    order: { service: 's', targetVersion: 'v2', durationMs: 12_000, ...positionAt(7) },
  });
  const { key, text } = encodeRolloutState(ORDER, 'rolled-back');
  t.is(key, 'status/rollout/s');
  t.deepEqual(decodeRollout({ key, ...positionAt(9), value: text }), {
    kind: 'rollout-status',
    status: { service: 's', targetVersion: 'v2', state: 'rolled-back', ...positionAt(9) },
  });
  t.deepEqual(decodeRollout({ key: 'op/rollout/s', ...positionAt(8), value: undefined }), {
    kind: 'rollout-removed',
    service: 's',
    position: positionAt(8),
  });
  t.throws(() =>
    decodeRollout({ key: 'op/rollout/s', ...positionAt(7), value: '{"durationS":-1}' }),
  );
});

test('a rollout continues if its order is rewritten after the store was restored from a backup', (t) => {
  const order = { ...ORDER, ...positionAt(5, 1) };
  const rollouts = rolloutsWith({ target: 1, others: 1 }, order);
  rollouts.applyStatus({ ...order, state: 'rolled-back', ...positionAt(7, 1) });
  t.false(rollouts.applyOrder({ ...order, ...positionAt(4, 2) }));
  t.is(rollouts.versionUse(NEW_BACKEND), 'closed');
  t.true(rollouts.applyOrder({ ...order, targetVersion: 'v3', ...positionAt(6, 2) }));
});

test('a state lost by the store is rewritten, conditional on the position the store holds', async (t) => {
  const order = { ...ORDER, ...positionAt(5, 1) };
  const written: Array<readonly [RolloutState, StorePosition]> = [];
  const clock = new VirtualClock();
  const write = (state: RolloutState, follows: StorePosition) => written.push([state, follows]);
  const rollouts = rolloutsWith({ target: 1, others: 1 }, order, write, clock);
  rollouts.applyStatus({ ...order, state: 'completed', ...positionAt(9, 1) });
  rollouts.tick();
  t.deepEqual(written, []);
  rollouts.applyOrder({ ...order, ...positionAt(5, 2) });
  rollouts.applyStatus({ ...order, state: 'in-progress', ...positionAt(6, 2) });
  rollouts.tick();
  t.deepEqual(written, [['completed', positionAt(6, 2)]]);
  await new Promise((resolve) => setImmediate(resolve));
  t.is(rollouts.versionUse(OLD_BACKEND), 'closed');
  rollouts.applyStatus({ ...order, state: 'completed', ...positionAt(8, 2) });
  rollouts.applyStatusRemoval('s', positionAt(8, 2));
  await clock.runUntil(2_000);
  rollouts.tick();
  t.is(written.length, 1);
  rollouts.applyStatusRemoval('s', positionAt(4, 3));
  rollouts.tick();
  t.deepEqual(written.at(-1), ['completed', positionAt(0, 2)]);
});
