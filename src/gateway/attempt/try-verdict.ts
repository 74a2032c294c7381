/** Queries: how one send of a request ended, and whether it went badly by the doing of its back end. */
import type { Route } from '../../routing/configuration.js';
import type { AttemptFailure } from './attempt.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';

/** Times of one send, in milliseconds. */
export interface TryTimes {
  /** From the send to the first event, or to the whole answer where there are no events. */
  readonly firstEventMs: number;
  readonly longestPauseMs: number;
  /** Whether the back end was cold when it was sent: it is slow then, whatever its version. */
  readonly isColdStart: boolean;
}

/** Whether it failed or was late; undefined where its end says nothing of the back end. */
export function isBadTry(
  outcome: AttemptOutcome,
  { targetLatencyMs, maxPauseMs }: Route,
  { firstEventMs, longestPauseMs, isColdStart }: TryTimes,
): boolean | undefined {
  if (outcome === 'failed' || outcome === 'silent') {
    return true;
  }
  if (outcome !== 'answered' || isColdStart) {
    return undefined;
  }
  const hasPaused = maxPauseMs > 0 && longestPauseMs > maxPauseMs;
  return hasPaused || firstEventMs > targetLatencyMs;
}

/** How a try ended that failed. */
export function outcomeOf({ isPortClosed, isSilent }: AttemptFailure): AttemptOutcome {
  if (isPortClosed) {
    return 'unreachable';
  }
  return isSilent === true ? 'silent' : 'failed';
}
