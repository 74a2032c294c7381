/** Changes of the store are in force in time at every gateway that has a path to somebody who knows them. */
import test from 'ava';
import type { GatewayCluster } from '../src/gateway/gateway-cluster.js';
import { runTroubled } from './support/fleet-troubles.js';
import type { TroubledRunOptions } from './support/fleet-troubles.js';

const LENGTH_MS = 30_000;

/** Late gateways of the first seed that has some, with what happened. */
async function findLate(
  seeds: { readonly from: number; readonly to: number },
  options: Omit<TroubledRunOptions, 'seed' | 'lengthMs'>,
) {
  for (let seed = seeds.from; seed <= seeds.to; seed += 1) {
    const needsAcknowledgement = seed % 2 === 0;
    const run = await runTroubled({ seed, lengthMs: LENGTH_MS, needsAcknowledgement, ...options });
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
  test(`${gateways} gateways know changes in time beside troubles in series and overlapping`, async (t) => {
    const found = await findLate({ from: 1, to }, { gateways });
    t.is(found, undefined, JSON.stringify(found));
  });
}

/** The parts of a process that a variant breaks. */
interface Inside {
  readonly follower: {
    readonly calls: object;
    readonly options: object;
  };
  readonly records: object;
}

interface Variant {
  readonly name: string;
  /** A seed that shows it. */
  readonly seed: number;
  breakInside(inside: Inside): void;
}

const VARIANTS: readonly Variant[] = [
  {
    name: 'a call is waited for to its end',
    seed: 23,
    breakInside: ({ follower }) => {
      Object.defineProperty(follower.calls, 'overdueMs', { get: () => 5_000 });
      Object.assign(follower, { options: { ...follower.options, watchMs: 5_000 } });
    },
  },
  {
    name: 'news of a listing after an outage is kept back',
    seed: 13,
    breakInside: ({ records }) => {
      const reachOf = Object.getOwnPropertyDescriptor(Object.getPrototypeOf(records), 'reach')!;
      Object.defineProperty(records, 'reach', {
        get() {
          const { completeTo } = reachOf.get!.call(records) as { completeTo: number };
          return { completeTo, currentTo: completeTo };
        },
      });
    },
  },
  {
    name: 'readers claim to read while they are deaf, and nobody looks how old knowledge is',
    seed: 4,
    breakInside: (inside) => {
      Object.defineProperty(inside.follower, 'isFollowing', { get: () => true });
      Object.defineProperty(inside, 'isKnowledgeOld', { get: () => false });
    },
  },
];

for (const { name, seed, breakInside } of VARIANTS) {
  test(`the check finds it if ${name}`, async (t) => {
    const breakProcess = (cluster: GatewayCluster) => breakInside(cluster as unknown as Inside);
    const found = await findLate({ from: seed, to: seed }, { gateways: 27, breakProcess });
    t.not(found, undefined);
  });
}
