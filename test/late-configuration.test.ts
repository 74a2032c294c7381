/**
 * Guards against gateways that apply a confirmed configuration change too late while no fault
 * affects them, and so refuse requests on a route that it added.
 *
 * - One-way partition: a gateway that sends but receives nothing announces the change first. A
 *   gateway that does not read the store queries only that one, again after each heartbeat, every
 *   .8 s (seed 4), and gets no response until the path recovers.
 * - Lost watch response: a gateway waits the full watch timeout of 6.5 s for a response lost in a
 *   store outage, and still counts as a store reader for itself and its peers. After an outage of
 *   .5 s that begins 3 s after the last change, eight of 27 gateways receive a change made in it
 *   5.1 s after its end, the others 7.3 s after.
 * - Delayed propagation: changes from the first listing after an outage reach peers only 2.2 s
 *   later, with the listing that may remove missing records.
 */
import test from 'ava';
import type { GatewayCluster } from '../src/gateway/gateway-cluster.js';
import { randomInteger } from '../src/random.js';
import { scenarioRandom, StoreFleet } from './support/store-fleet.js';

/** Time without faults after which a gateway or the store counts as healthy, in milliseconds. */
const CONTACT_MS = 4_000;
/** Time limit for applying a change, in milliseconds. */
const CHANGE_BOUND_MS = 3_000;
/** Time limit after a store outage for applying its changes on every gateway, in milliseconds. */
const SILENCE_BOUND_MS = 2_000;
/** Time for which watches receive nothing before the store drops its history, in milliseconds. */
const WITHHELD_MS = 1_000;
const SETTLE_MS = 5_000;
const SEEDS = 40;
const MIN_SILENCE_MS = 200;
const MAX_SILENCE_MS = 6_000;

/** Starts a settled fleet that reports a healthy gateway as late after `CHANGE_BOUND_MS`. */
async function startFleet(
  seed: number,
  gateways: number,
  injectFault?: (cluster: GatewayCluster) => void,
): Promise<StoreFleet> {
  const options = { seed, gateways, needsAcknowledgement: false };
  const fleet = new StoreFleet(injectFault === undefined ? options : { ...options, injectFault });
  await fleet.run(SETTLE_MS);
  fleet.isLate = (machine, change, nowMs) =>
    nowMs - change.atMs > CHANGE_BOUND_MS &&
    nowMs - machine.disruptedUntilMs >= CONTACT_MS &&
    !fleet.hadStoreFault(nowMs - CONTACT_MS);
  return fleet;
}

test('a change during a short store outage is applied in time, and by every gateway soon after the outage', async (t) => {
  for (const gateways of [3, 12, 27]) {
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const random = scenarioRandom(seed);
      const fleet = await startFleet(seed, gateways);
      const silentMs = MIN_SILENCE_MS * (MAX_SILENCE_MS / MIN_SILENCE_MS) ** random.next();
      const fromMs = fleet.clock.now() + randomInteger(random, 0, 5_000);
      const isLateWhenHealthy = fleet.isLate;
      fleet.isLate = (machine, change, nowMs) =>
        isLateWhenHealthy(machine, change, nowMs) ||
        (nowMs > fromMs && nowMs - fromMs - silentMs > SILENCE_BOUND_MS);
      fleet.scheduleAt(fromMs, () => fleet.setStoreFault('silent', silentMs));
      fleet.scheduleAt(fromMs + random.next() * silentMs, () => fleet.changeConfiguration());
      await fleet.run(silentMs + 12_000);
      t.deepEqual(
        fleet.lateGateways,
        [],
        `seed ${seed}, ${gateways} gateways, silent for ${silentMs} ms`,
      );
    }
  }
});

test('a change is applied in time while a gateway that announces it receives no messages from peers', async (t) => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const fleet = await startFleet(seed, 9);
    const fromMs = fleet.clock.now();
    fleet.machines[seed % 9]!.cut('peers', 'in', 5_500);
    fleet.scheduleAt(fromMs + 700, () => fleet.changeConfiguration());
    await fleet.run(9_000);
    t.deepEqual(fleet.lateGateways, [], `seed ${seed}`);
  }
});

/**
 * Runs nine gateways; the last one, not a store reader, receives from the other eight but cannot
 * reach them.
 */
async function runUnreachablePeers(seed: number, injectFault?: (cluster: GatewayCluster) => void) {
  const fleet = await startFleet(seed, 9, injectFault);
  const fromMs = fleet.clock.now();
  const last = fleet.machines.find(({ cluster }) => cluster?.isReadingStore === false)!;
  fleet.machines
    .filter((machine) => machine !== last)
    .forEach((machine) => machine.cut('peers', 'in', 6_000));
  fleet.scheduleAt(fromMs + 400, () => fleet.changeConfiguration());
  await fleet.run(9_000);
  return fleet.lateGateways;
}

test('a gateway whose queries reach no peer reads the store itself', async (t) => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    t.deepEqual(await runUnreachablePeers(seed), [], `seed ${seed}`);
  }
});

test('the check detects a gateway that never reads the store while it receives heartbeats of readers', async (t) => {
  const late = await runUnreachablePeers(0, (cluster) => {
    const { exchange } = cluster;
    Object.defineProperty(exchange, 'behindMs', { get: () => 0 });
    Object.defineProperty(cluster, 'isKnowledgeOld', { get: () => false });
  });
  t.not(late.length, 0);
});

test('changes that a watch skips are applied soon, whichever gateway learned their revision first', async (t) => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const random = scenarioRandom(seed);
    const fleet = await startFleet(seed, 27);
    const fromMs = fleet.clock.now() + randomInteger(random, 0, 5_000);
    fleet.store.skipsWithheldChanges = true;
    fleet.isLate = (_machine, _change, nowMs) => nowMs - fromMs > WITHHELD_MS + SILENCE_BOUND_MS;
    fleet.scheduleAt(fromMs, () => fleet.dropStoreHistory(WITHHELD_MS));
    fleet.scheduleAt(fromMs + random.next() * WITHHELD_MS, () => fleet.changeConfiguration());
    await fleet.run(15_000);
    t.deepEqual(fleet.lateGateways, [], `seed ${seed}`);
  }
});

test('a gateway logs when its view of the store is stale and when it is confirmed again', async (t) => {
  const fleet = await startFleet(1, 3);
  const lines: Array<readonly [string, string]> = [];
  fleet.onLogLine = ({ address }, event) => lines.push([address, event]);
  fleet.setStoreFault('silent', 4_000);
  await fleet.run(9_000);
  for (const { address } of fleet.machines) {
    const logged = lines.filter(
      ([from, event]) => from === address && event.startsWith('knowledge'),
    );
    t.deepEqual(
      logged.map(([, event]) => event),
      ['knowledge-old', 'knowledge-confirmed'],
    );
  }
});
