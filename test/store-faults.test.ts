/**
 * Every gateway that can reach the store, or a peer that has received a change, must apply the
 * change in time.
 */
import test from 'ava';
import type { GatewayCluster } from '../src/gateway/gateway-cluster.js';
import { runWithFaults } from './support/fleet-faults.js';
import type { FaultRunOptions } from './support/fleet-faults.js';

const LENGTH_MS = 30_000;

/**
 * Runs the seeds until gateways are late; returns that seed and its run, or undefined if none are.
 */
async function findLate(
  seeds: { readonly from: number; readonly to: number },
  options: Omit<FaultRunOptions, 'seed' | 'lengthMs'>,
) {
  for (let seed = seeds.from; seed <= seeds.to; seed += 1) {
    const needsAcknowledgement = seed % 2 === 0;
    const run = await runWithFaults({
      seed,
      lengthMs: LENGTH_MS,
      needsAcknowledgement,
      ...options,
    });
    if (run.late.length + run.lateForOrders.length > 0) {
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
  test(`${gateways} gateways apply store changes in time during consecutive and overlapping faults`, async (t) => {
    const found = await findLate({ from: 1, to }, { gateways });
    t.is(found, undefined, JSON.stringify(found));
  });
}

/** Private members of `GatewayCluster` that a fault variant modifies. */
interface GatewayClusterInternals {
  readonly follower: {
    readonly calls: object;
    readonly options: object;
  };
  readonly records: object;
}

interface FaultVariant {
  readonly name: string;
  /** A seed in which the fault is detected. */
  readonly seed: number;
  injectFault(internals: GatewayClusterInternals): void;
}

const FAULT_VARIANTS: readonly FaultVariant[] = [
  {
    name: 'a store call is only given up after its full timeout',
    seed: 23,
    injectFault: ({ follower }) => {
      Object.defineProperty(follower.calls, 'overdueMs', { get: () => 5_000 });
      Object.assign(follower, { options: { ...follower.options, watchMs: 5_000 } });
    },
  },
  {
    name: 'changes of the first listing after an outage are not sent to peers',
    seed: 13,
    injectFault: ({ records }) => {
      const progressGetter = Object.getOwnPropertyDescriptor(
        Object.getPrototypeOf(records),
        'progress',
      )!;
      Object.defineProperty(records, 'progress', {
        get() {
          const { completeTo } = progressGetter.get!.call(records) as { completeTo: number };
          return { completeTo, currentTo: completeTo };
        },
      });
    },
  },
  {
    name: 'readers without store responses report that they read, and stale views go unnoticed',
    seed: 4,
    injectFault: (internals) => {
      Object.defineProperty(internals.follower, 'isFollowing', { get: () => true });
      Object.defineProperty(internals, 'isKnowledgeOld', { get: () => false });
    },
  },
];

for (const { name, seed, injectFault } of FAULT_VARIANTS) {
  test(`the check detects the fault: ${name}`, async (t) => {
    const injectIntoCluster = (cluster: GatewayCluster) =>
      injectFault(cluster as unknown as GatewayClusterInternals);
    const found = await findLate(
      { from: seed, to: seed },
      { gateways: 27, injectFault: injectIntoCluster },
    );
    t.not(found, undefined);
  });
}
