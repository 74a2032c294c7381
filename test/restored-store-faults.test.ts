/**
 * Restores of the store from backups, combined with all other faults: gateways apply each change in
 * time and never revert to older records.
 */
import test from 'ava';
import type { ClusterStore, StoreRead } from '../src/cluster/cluster-store.js';
import type { ReplicatedRecords } from '../src/cluster/replicated-records.js';
import type { GatewayCluster } from '../src/gateway/gateway-cluster.js';
import { runWithFaults } from './support/fleet-faults.js';
import type { FaultRunOptions } from './support/fleet-faults.js';

const LENGTH_MS = 30_000;

/**
 * Runs the seeds in order; returns the first run in which a gateway was late or reverted, or
 * undefined.
 */
async function findFailingRun(
  seeds: { readonly from: number; readonly to: number },
  options: Omit<FaultRunOptions, 'seed' | 'lengthMs' | 'reportsEpochs'>,
) {
  for (let seed = seeds.from; seed <= seeds.to; seed += 1) {
    const run = await runWithFaults({ seed, lengthMs: LENGTH_MS, reportsEpochs: true, ...options });
    const violations = [
      run.late,
      run.lateForOrders,
      run.lateForDepartures,
      run.revertedToReady,
    ].flat();
    if (violations.length > 0) {
      return { seed, ...run };
    }
  }
  return undefined;
}

for (const [gateways, to] of [
  [3, 20],
  [12, 8],
  [27, 4],
] as const) {
  test(`${gateways} gateways apply changes in time and never revert, with restores of the store and other faults`, async (t) => {
    const found = await findFailingRun({ from: 1, to }, { gateways });
    t.is(found, undefined, JSON.stringify(found));
  });
}

/** Private members of `GatewayCluster` that the injected faults replace. */
interface ClusterInternals {
  readonly follower: { store: ClusterStore };
  readonly records: ReplicatedRecords;
}

interface InjectedFault {
  readonly name: string;
  /** A seed with which the check detects the fault. */
  readonly seed: number;
  injectFault(internals: ClusterInternals): void;
}

/** Wraps a store so that all its responses have the same epoch. */
function withoutEpochs(store: ClusterStore): ClusterStore {
  const withEpochOne = (read: StoreRead): StoreRead => ({
    ...read,
    epoch: 1,
    records: read.records.map((record) => ({ ...record, epoch: 1 })),
  });
  return {
    list: async () => (await store.list()).map(withEpochOne),
    watch: async (since, waitMs) => (await store.watch(since, waitMs)).map(withEpochOne),
  };
}

const INJECTED_FAULTS: readonly InjectedFault[] = [
  {
    name: 'epochs are ignored',
    seed: 2,
    injectFault: ({ follower }) => {
      follower.store = withoutEpochs(follower.store);
    },
  },
  {
    name: 'records that the backup lacks are removed at once',
    seed: 2,
    injectFault: ({ follower }) => {
      Object.assign(follower, { deferRelistForEpoch: () => undefined });
    },
  },
  {
    name: 'records that the backup contains replace newer ones at once',
    seed: 2,
    injectFault: ({ records }) => {
      Object.assign(records, { isWrittenLater: () => true });
    },
  },
];

for (const { name, seed, injectFault } of INJECTED_FAULTS) {
  test(`the check detects a gateway in which ${name}`, async (t) => {
    const injectIntoCluster = (cluster: GatewayCluster) =>
      injectFault(cluster as unknown as ClusterInternals);
    const found = await findFailingRun(
      { from: seed, to: seed },
      { gateways: 12, injectFault: injectIntoCluster },
    );
    t.not(found, undefined);
  });
}
