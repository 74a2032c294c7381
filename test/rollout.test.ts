import test from 'ava';
import type { ExecutionContext } from 'ava';
import { decodeRollout, encodeRolloutState } from '../platform/rollout-formats.js';
import { GatewayRollouts } from '../src/gateway/gateway-rollouts.js';
import { ok } from '../src/result.js';
import { Rollouts } from '../src/rollout/rollouts.js';
import { judge } from '../src/rollout/sequential-test.js';
import { ServiceRollout } from '../src/rollout/service-rollout.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import type { DecisionLog } from '../src/telemetry/decision-log.js';
import { backendOf, GatewayWorld } from './support/gateway.js';
import { RolloutFleet } from './support/rollout-fleet.js';
import type { FleetTroubles, RolloutRun, VersionBehaviour } from './support/rollout-fleet.js';
import { at } from './support/positions.js';
import type { StorePosition } from '../src/cluster/store-position.js';
import type { RolloutState } from '../src/rollout/rollout-order.js';

const ORDER = { service: 's', targetVersion: 'v2', durationMs: 20_000, ...at(5) };
const SEEDS = Array.from({ length: 50 }, (_unused, index) => index + 1);
const EXPOSE_SHARE = 0.1;
const EXPOSE_SLACK = 50;

const GOOD: VersionBehaviour = { badShare: () => 0.02 };
const BAD_AT_ONCE: VersionBehaviour = { badShare: () => 0.4 };
const BAD_LATER: VersionBehaviour = { badShare: (part) => (part < 0.55 ? 0.02 : 0.5) };
const BAD_BEFORE_THE_MOVE: VersionBehaviour = { badShare: (part) => (part < 0.7 ? 0.02 : 0.5) };
const BAD_ON_ONE_ROUTE: VersionBehaviour = {
  badShare: (_part, route) => (route === 'second' ? 0.5 : 0.02),
};
const SLOW: VersionBehaviour = { badShare: () => 0.95 };

async function runAll(behaviour: VersionBehaviour, troubles: FleetTroubles): Promise<RolloutRun[]> {
  const runs: RolloutRun[] = [];
  for (const seed of SEEDS) {
    runs.push(await new RolloutFleet(seed, ORDER, behaviour, troubles).run());
  }
  return runs;
}

async function allEnd(
  t: ExecutionContext,
  state: 'completed' | 'rolled-back',
  behaviour: VersionBehaviour,
  troubles: FleetTroubles = {},
): Promise<void> {
  for (const run of await runAll(behaviour, troubles)) {
    t.is(run.state, state);
    t.true(run.endedAt < 1, `ended at ${run.endedAt}`);
    t.deepEqual(run.written.slice(0, -1), ['in-progress']);
    t.is(run.cutOff, 0);
    if (state === 'rolled-back') {
      t.true(run.exposed <= EXPOSE_SHARE * run.sent + EXPOSE_SLACK, `${run.exposed}/${run.sent}`);
      t.is(run.sentLongAfterFifty, 0);
    }
  }
}

test('a good version takes the traffic over in time, and nothing is cut off', async (t) => {
  await allEnd(t, 'completed', GOOD);
});

test('a version that is bad at once is rolled back', async (t) => {
  await allEnd(t, 'rolled-back', BAD_AT_ONCE);
});

test('a version that turns bad later is rolled back within its exposure', async (t) => {
  await allEnd(t, 'rolled-back', BAD_LATER);
});

test('a version that turns bad just before all traffic would move is rolled back', async (t) => {
  await allEnd(t, 'rolled-back', BAD_BEFORE_THE_MOVE);
});

test('a version that is bad on one route only is rolled back', async (t) => {
  await allEnd(t, 'rolled-back', BAD_ON_ONE_ROUTE);
});

test('a version that is several times slower is rolled back', async (t) => {
  await allEnd(t, 'rolled-back', SLOW);
});

test('gateways that the store turns away hold nothing up', async (t) => {
  await allEnd(t, 'completed', GOOD, { turnedAway: 4 });
  await allEnd(t, 'rolled-back', BAD_AT_ONCE, { turnedAway: 4 });
});

test('a store that is away for a third of the time is written to afterwards', async (t) => {
  await allEnd(t, 'completed', GOOD, { storeAwayUntil: 0.33 });
});

test('while gateways restart a bad version stays within its exposure', async (t) => {
  await allEnd(t, 'rolled-back', BAD_LATER, { restartAllAt: 0.4 });
});

test('a few failures of a good version do not condemn it, several without a success do', (t) => {
  const inForce = { ended: 500, bad: 10 };
  t.is(judge({ ended: 60, bad: 3 }, inForce), 'good');
  t.is(judge({ ended: 10, bad: 1 }, inForce), 'open');
  t.is(judge({ ended: 6, bad: 6 }, inForce), 'bad');
});

test('what fails at both versions says nothing against the new one', (t) => {
  t.not(judge({ ended: 100, bad: 45 }, { ended: 1_000, bad: 450 }), 'bad');
});

test('a version that was rolled back gets nothing, one that was completed gets all', (t) => {
  const rollout = new ServiceRollout(ORDER, 'g', 0);
  rollout.takeStatus({ ...ORDER, state: 'rolled-back', ...at(6) });
  t.deepEqual([rollout.useOf('v1'), rollout.useOf('v2')], ['open', 'closed']);
  const other = new ServiceRollout(ORDER, 'g', 0);
  other.takeStatus({ ...ORDER, state: 'completed', ...at(6) });
  t.deepEqual([other.useOf('v1'), other.useOf('v2')], ['closed', 'open']);
});

test('the state of an earlier order says nothing of a later one', (t) => {
  const rollout = new ServiceRollout(ORDER, 'g', 0);
  rollout.takeStatus({ ...ORDER, state: 'completed', ...at(4) });
  t.is(rollout.state, undefined);
  rollout.takeStatus({ ...ORDER, targetVersion: 'v9', state: 'completed', ...at(8) });
  t.is(rollout.state, undefined);
});

test('a bad word of one peer stops the traffic here at once', (t) => {
  const rollout = new ServiceRollout(ORDER, 'g', 0);
  for (let index = 0; index < 100; index += 1) {
    rollout.noteSent('v1', 0);
  }
  t.is(rollout.useOf('v2'), 'limited');
  const told = new ServiceRollout(ORDER, 'peer', 0).tell(100);
  rollout.hear('peer', { ...told, isBad: true }, 100);
  t.is(rollout.useOf('v2'), 'closed');
});

test('what went well in one step does not hide that the version turned bad in the next', (t) => {
  const rollout = new ServiceRollout(ORDER, 'g', 0);
  const endAt = (nowMs: number, count: number, isBad: boolean) => {
    for (let index = 0; index < count; index += 1) {
      rollout.noteEnded('v1', 'r', false, nowMs);
      rollout.noteEnded('v2', 'r', isBad, nowMs);
    }
  };
  endAt(1_000, 400, false);
  endAt(11_000, 20, true);
  t.is(rollout.useOf('v2'), 'closed');
  t.true(rollout.tell(11_000).isBad);
});

/** Roll-outs of one gateway whose service has the given ready back ends. */
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
        return Promise.resolve(ok(at(1)));
      },
      onWritten: () => undefined,
    },
    clock,
  );
  rollouts.takeOrder(order);
  return rollouts;
}

const OLD = backendOf('old', { version: 'v1' });
const NEW = backendOf('new', { version: 'v2' });

test('an order that is removed ends its roll-out: the version gets nothing while there are others', (t) => {
  const ready = { target: 1, others: 1 };
  const rollouts = rolloutsWith(ready);
  for (let index = 0; index < 100; index += 1) {
    rollouts.noteSent(OLD);
  }
  t.is(rollouts.useOf(NEW), 'limited');
  t.false(rollouts.takeRemoval('s', at(ORDER.revision - 1)));
  t.true(rollouts.takeRemoval('s', at(ORDER.revision + 1)));
  t.deepEqual([rollouts.useOf(OLD), rollouts.useOf(NEW)], ['open', 'closed']);
  t.is(rollouts.tell(), undefined);
  ready.others = 0;
  t.is(rollouts.useOf(NEW), 'open');
  rollouts.takeOrder({ ...ORDER, ...at(ORDER.revision + 2) });
  t.not(rollouts.tell(), undefined);
});

test('a completed roll-out whose order is removed leaves every version open', (t) => {
  const rollouts = rolloutsWith({ target: 1, others: 1 });
  rollouts.takeStatus({ ...ORDER, state: 'completed', ...at(6) });
  t.deepEqual([rollouts.useOf(OLD), rollouts.useOf(NEW)], ['closed', 'open']);
  rollouts.takeRemoval('s', at(7));
  t.deepEqual([rollouts.useOf(OLD), rollouts.useOf(NEW)], ['open', 'open']);
});

test('the old version is used where every back end of the new one is in an evacuated zone', (t) => {
  const ready = { target: 0, others: 1 };
  const rollouts = rolloutsWith(ready);
  rollouts.takeStatus({ ...ORDER, state: 'completed', ...at(6) });
  t.is(rollouts.useOf(OLD), 'open');
  ready.target = 1;
  t.is(rollouts.useOf(OLD), 'closed');
});

test('back ends of evacuated zones do not count as those of a version', (t) => {
  const world = new GatewayWorld(
    backendOf('a', { zone: 'za', version: 'v2' }),
    backendOf('b', { zone: 'zb', version: 'v2' }),
    backendOf('c', { zone: 'zb', version: 'v1' }),
  );
  const log = { write: () => undefined } as unknown as DecisionLog;
  const { rollouts } = new GatewayRollouts({
    incarnation: 'g',
    directory: world.directory,
    adapter: { writeRolloutState: () => Promise.resolve(ok(at(1))) },
    clock: world.clock,
    log,
    countGateways: () => 1,
    isEvacuated: (zone) => world.isEvacuated(zone),
  });
  rollouts.takeOrder(ORDER);
  rollouts.takeStatus({ ...ORDER, state: 'completed', ...at(6) });
  t.is(rollouts.useOf(OLD), 'closed');
  world.order('zb', true);
  t.is(rollouts.useOf(OLD), 'closed');
  world.order('za', true);
  t.is(rollouts.useOf(OLD), 'open');
});

test('orders and states are read and written as the platform names them', (t) => {
  const value = JSON.stringify({ service: 's', targetVersion: 'v2', durationS: 12 });
  t.deepEqual(decodeRollout({ key: 'op/rollout/s', ...at(7), value }), {
    kind: 'rollout-order',
    order: { service: 's', targetVersion: 'v2', durationMs: 12_000, ...at(7) },
  });
  const { key, text } = encodeRolloutState(ORDER, 'rolled-back');
  t.is(key, 'status/rollout/s');
  t.deepEqual(decodeRollout({ key, ...at(9), value: text }), {
    kind: 'rollout-status',
    status: { service: 's', targetVersion: 'v2', state: 'rolled-back', ...at(9) },
  });
  t.deepEqual(decodeRollout({ key: 'op/rollout/s', ...at(8), value: undefined }), {
    kind: 'rollout-removed',
    service: 's',
    position: at(8),
  });
  t.throws(() => decodeRollout({ key: 'op/rollout/s', ...at(7), value: '{"durationS":-1}' }));
});

test('a roll-out goes on where its order is written again after the store came back from a copy', (t) => {
  const order = { ...ORDER, ...at(5, 1) };
  const rollouts = rolloutsWith({ target: 1, others: 1 }, order);
  rollouts.takeStatus({ ...order, state: 'rolled-back', ...at(7, 1) });
  t.false(rollouts.takeOrder({ ...order, ...at(4, 2) }));
  t.is(rollouts.useOf(NEW), 'closed');
  t.true(rollouts.takeOrder({ ...order, targetVersion: 'v3', ...at(6, 2) }));
});

test('a state that the store lost is written again, after what the store holds', async (t) => {
  const order = { ...ORDER, ...at(5, 1) };
  const written: Array<readonly [RolloutState, StorePosition]> = [];
  const clock = new VirtualClock();
  const write = (state: RolloutState, follows: StorePosition) => written.push([state, follows]);
  const rollouts = rolloutsWith({ target: 1, others: 1 }, order, write, clock);
  rollouts.takeStatus({ ...order, state: 'completed', ...at(9, 1) });
  rollouts.tick();
  t.deepEqual(written, []);
  rollouts.takeOrder({ ...order, ...at(5, 2) });
  rollouts.takeStatus({ ...order, state: 'in-progress', ...at(6, 2) });
  rollouts.tick();
  t.deepEqual(written, [['completed', at(6, 2)]]);
  await new Promise((resolve) => setImmediate(resolve));
  t.is(rollouts.useOf(OLD), 'closed');
  rollouts.takeStatus({ ...order, state: 'completed', ...at(8, 2) });
  rollouts.takeStatusRemoval('s', at(8, 2));
  await clock.runUntil(2_000);
  rollouts.tick();
  t.is(written.length, 1);
  rollouts.takeStatusRemoval('s', at(4, 3));
  rollouts.tick();
  t.deepEqual(written.at(-1), ['completed', at(0, 2)]);
});
