/** Decisions about requests, written as one log line each and read again by replay. */
import type { RequestId } from './request/request-id.js';

/** One routing or placement decision. */
export interface Decision {
  /** Kind of decision, such as `bid`, `bind`, `refuse`, `call`, `start` or `preempt`. */
  readonly action: string;
  readonly id: RequestId;
  /** Engines that were considered. */
  readonly candidates?: readonly string[];
  /** Engines that were chosen. */
  readonly chosen?: readonly string[];
  readonly tier?: number;
  readonly tenant?: string;
  readonly reason: string;
  /** Policy generation in force when the decision was made. */
  readonly generation: number;
}

/**
 * A counter or timer sample that a core (the logic without I/O) passes to its shell for recording.
 */
export interface Measurement {
  readonly metric: string;
  readonly value: number;
  readonly type: 'count' | 'timing';
  readonly tags?: Readonly<Record<string, string>>;
}
