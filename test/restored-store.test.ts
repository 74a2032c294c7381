import test from 'ava';
import type { ReplicaProgress } from '../src/cluster/replicated-records.js';
import type { GatewayCluster } from '../src/gateway/gateway-cluster.js';
import { randomInteger } from '../src/random.js';
import { scenarioRandom, StoreFleet } from './support/store-fleet.js';

/**
 * Required time limit until a change, or the record of a draining backend, is in force, in
 * milliseconds.
 */
const CHANGE_BOUND_MS = 2_000;
const SEEDS = 20;
const SETTLE_MS = 5_000;
/**
 * Interval between changes before the outage of the store, and time from its restore to the next
 * change.
 */
const CHANGE_PERIOD_MS = 700;
const AFTER_RESTORE_MS = 1_500;

interface RestoreScenario {
  readonly gateways: number;
  readonly seed: number;
  /** Injects a fault into each process when it starts. */
  readonly injectFault?: (cluster: GatewayCluster) => void;
}

/**
 * Restores the store of a fleet from a backup that is some seconds old, then writes changes and
 * drains backends.
 */
async function runRestoreScenario({
  gateways,
  seed,
  injectFault,
}: RestoreScenario): Promise<StoreFleet> {
  const random = scenarioRandom(seed);
  const fleet = new StoreFleet({
    seed,
    gateways,
    reportsEpochs: true,
    ...(injectFault === undefined ? {} : { injectFault }),
  });
  fleet.announceBackend('b1');
  fleet.announceBackend('b2');
  await fleet.run(SETTLE_MS);
  for (let change = 0; change < 10; change += 1) {
    fleet.changeConfiguration();
    await fleet.run(CHANGE_PERIOD_MS);
  }
  fleet.isLate = (_machine, change, nowMs) => nowMs - change.atMs > CHANGE_BOUND_MS;
  fleet.isLateForDeparture = (_machine, departure, nowMs) =>
    nowMs - departure.atMs > CHANGE_BOUND_MS;
  const downMs = randomInteger(random, 100, 3_000);
  const backupAgeMs = randomInteger(random, 200, 20_000);
  fleet.restoreStore(downMs, backupAgeMs);
  await fleet.run(downMs + AFTER_RESTORE_MS);
  fleet.changeConfiguration();
  fleet.drainBackend('b1');
  await fleet.run(CHANGE_PERIOD_MS);
  fleet.changeConfiguration();
  fleet.drainBackend('b2');
  await fleet.run(CHANGE_BOUND_MS * 2);
  return fleet;
}

test('a configuration written after a restore of the store is in force on every gateway in time', async (t) => {
  for (const gateways of [1, 4, 31]) {
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const fleet = await runRestoreScenario({ gateways, seed });
      t.deepEqual(fleet.lateGateways, [], `seed ${seed}, ${gateways} gateways`);
    }
  }
});

test('a backend that drains after a restore of the store is known as draining on every gateway in time', async (t) => {
  for (const gateways of [1, 4, 31]) {
    for (let seed = 0; seed < SEEDS; seed += 1) {
      const fleet = await runRestoreScenario({ gateways, seed });
      t.deepEqual(fleet.lateForDepartures, [], `seed ${seed}, ${gateways} gateways`);
    }
  }
});

/** Faults that the scenario must detect, by description. */
const INJECTED_FAULTS: Readonly<Record<string, (cluster: GatewayCluster) => void>> = {
  'readers do not report the epoch to their peers': ({ records }) => {
    const progressProperty = Object.getOwnPropertyDescriptor(
      Object.getPrototypeOf(records),
      'progress',
    )!;
    Object.defineProperty(records, 'progress', {
      get() {
        const { completeTo, currentTo } = progressProperty.get!.call(records) as ReplicaProgress;
        return {
          completeTo: { ...completeTo, epoch: 1 },
          currentTo: { ...currentTo, epoch: 1 },
        };
      },
    });
  },
  'replicas compare positions of different epochs by revision alone': ({ records }) => {
    Object.assign(records, {
      isBehind: ({ completeTo, currentTo }: ReplicaProgress) =>
        completeTo.revision > records.completeTo.revision ||
        currentTo.revision > records.currentTo.revision,
    });
  },
};

for (const [name, injectFault] of Object.entries(INJECTED_FAULTS)) {
  test(`the check detects a fleet in which ${name}`, async (t) => {
    const fleet = await runRestoreScenario({ seed: 2, gateways: 31, injectFault });
    t.not(fleet.lateForDepartures.length, 0);
  });
}
