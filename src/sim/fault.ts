/** Fault kinds of the simulation, and a fast-check arbitrary for fault schedules. */
import * as fc from 'fast-check';

/**
 * Kinds of fault; replay files store these names. Unless stated otherwise, the effect ends after
 * the duration of the fault.
 */
export const FAULT_KINDS = [
  // Kills a process and restarts it after the duration.
  'kill-agent',
  'kill-entry',
  // Suspends a process; deliveries to it are queued.
  'freeze-agent',
  'freeze-entry',
  // Crashes the backend of an agent and keeps it down for the duration.
  'crash-engine',
  // Multiplies all durations of an engine.
  'slow-engine',
  // Partitions the network between an entry and an agent, in both directions or in one.
  'cut-pair',
  'cut-one-way',
  // Partitions one zone from all other zones of the deployment.
  'cut-zone',
  // Partitions an agent from the platform.
  'cut-platform',
  // Adds latency to the whole network.
  'delay-network',
  // The key-value service of the platform refuses all calls, or delays its responses.
  'platform-outage',
  'platform-slow',
  // The platform applies the next writes, but their responses are lost.
  'platform-lost-answers',
  // Delays changes of the machine list.
  'list-lag',
  // Multiplies the request rate.
  'burst',
  // The load balancer sends all requests to one entry.
  'skewed-balancer',
  // Graceful shutdown, by signal, of an agent or of every agent of a place. After each graceful
  // shutdown the process is restarted.
  'leave-agent',
  'leave-place',
  // Graceful shutdown of an agent by its state in the machine list alone.
  'leave-by-list',
  // Graceful shutdown of an entry by signal.
  'leave-entry',
  // Drains an engine by a policy change, or returns it to service; stays in effect.
  'policy-change',
  // Concurrent policy changes, two of them to the same engine; they stay in effect.
  'operator-race',
] as const;

/** Name of a fault kind. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One scheduled fault; replay files store these fields. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /**
   * Index of the process or place to affect, modulo the number of candidates; its parity selects
   * the direction of `cut-one-way`.
   */
  readonly target: number;
}

/** Sets of fault kinds by the name that selects them. */
export const FAULT_SETS: Readonly<Record<string, readonly FaultKind[]>> = {
  none: [],
  all: FAULT_KINDS,
  crash: ['kill-agent', 'kill-entry', 'crash-engine'],
  freeze: ['freeze-agent', 'freeze-entry'],
  network: ['cut-pair', 'cut-one-way', 'cut-zone', 'cut-platform', 'delay-network'],
  platform: ['platform-outage', 'platform-slow', 'platform-lost-answers', 'list-lag'],
  overload: ['burst', 'slow-engine', 'skewed-balancer'],
  leave: ['leave-agent', 'leave-place', 'leave-by-list', 'leave-entry'],
  policy: ['policy-change', 'operator-race'],
};

const MAX_FAULT_DURATION_MS = 20_000;
const MIN_FAULT_DURATION_MS = 50;
const MAX_TARGET = 1_000;

/**
 * Generates schedules of two to `maxFaults` faults of the given kinds that begin within
 * `durationMs`; fewer than two only if `maxFaults` is below two or `kinds` is empty.
 */
export function faultScheduleArbitrary(
  kinds: readonly FaultKind[],
  durationMs: number,
  maxFaults: number,
): fc.Arbitrary<Fault[]> {
  if (kinds.length === 0) {
    return fc.constant([]);
  }
  const fault = fc.record({
    kind: fc.constantFrom(...kinds),
    atMs: fc.integer({ min: 0, max: durationMs }),
    durationMs: fc.integer({ min: MIN_FAULT_DURATION_MS, max: MAX_FAULT_DURATION_MS }),
    target: fc.integer({ min: 0, max: MAX_TARGET }),
  });
  return fc.array(fault, { minLength: Math.min(2, maxFaults), maxLength: maxFaults, size: 'max' });
}
