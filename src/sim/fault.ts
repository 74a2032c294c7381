/** Fault kinds of the simulation, and a fast-check arbitrary for fault schedules. */
import * as fc from 'fast-check';

/** Kinds of fault; replay files store these names. */
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

/** Name of a fault kind. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One scheduled fault; replay files store these fields. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** Index of the process or place to affect, modulo the number of candidates. */
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

/** Generates schedules of up to `maxFaults` faults of the given kinds within `durationMs`. */
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
