/** Decisions about requests: one log line each, and the input of replay. */
import type { RequestId } from './request/request-id.js';

/** One routing or placement decision. */
export interface Decision {
  /** What was decided, for instance `bid`, `bind`, `refuse`, `call`, `start`, `preempt`. */
  readonly action: string;
  readonly id: RequestId;
  /** Engines that were considered. */
  readonly candidates?: readonly string[];
  /** Engines that were chosen. */
  readonly chosen?: readonly string[];
  readonly tier?: number;
  readonly tenant?: string;
  readonly reason: string;
  /** Policy generation that the decision was made under. */
  readonly generation: number;
}

/** A counter or timer reading that a core hands to its shell. */
export interface Measurement {
  readonly metric: string;
  readonly value: number;
  readonly type: 'count' | 'timing';
  readonly tags?: Readonly<Record<string, string>>;
}
