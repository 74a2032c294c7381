/** Faults of a simulated run: what they are, and schedules of them for fast-check to make and shrink. */
import * as fc from 'fast-check';

/** Kinds of fault, each with what it does. */
export const FAULT_KINDS = [
  'kill-agent',
  'kill-entry',
  'freeze-agent',
  'freeze-entry',
  'crash-engine',
  'slow-engine',
  'cut-pair',
  'cut-one-way',
  'cut-zone',
  'cut-platform',
  'delay-network',
  'platform-outage',
  'platform-slow',
  'platform-lost-answers',
  'list-lag',
  'burst',
  'skewed-balancer',
  'leave-agent',
  'leave-place',
  'leave-by-list',
  'leave-entry',
  'policy-change',
  'operator-race',
] as const;

/** A kind of fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault of a schedule. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** Chooses what is hit, modulo the number of candidates. */
  readonly target: number;
}

/** Named sets of faults. */
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

const LONGEST_FAULT_MS = 20_000;
const SHORTEST_FAULT_MS = 50;
const MAX_TARGET = 1_000;

/** Schedules of up to `maxFaults` faults of the given kinds within `durationMs`. */
export function faultSchedules(
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
    durationMs: fc.integer({ min: SHORTEST_FAULT_MS, max: LONGEST_FAULT_MS }),
    target: fc.integer({ min: 0, max: MAX_TARGET }),
  });
  return fc.array(fault, { minLength: Math.min(2, maxFaults), maxLength: maxFaults, size: 'max' });
}
