/** Classifies how an attempt ended and whether its backend is at fault. */
import type { Route } from '../../routing/configuration.js';
import type { AttemptFailure } from './attempt.js';
import type { AttemptProgress } from './attempt-progress.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';

const MIN_HTTP_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Whether the status states that the backend failed. */
export function isServerError(status: number): boolean {
  return status >= FIRST_SERVER_ERROR_STATUS;
}

/** Whether the response of a stream with this status consists of events. */
export function isEventStreamStatus(status: number): boolean {
  return status < MIN_HTTP_ERROR_STATUS;
}

/** Latencies of one attempt, in milliseconds. */
export interface AttemptTimes {
  /** Time from the send to the first event, or to the complete response if there are no events. */
  readonly firstEventMs: number;
  readonly longestPauseMs: number;
  /** Whether the backend was cold at the send; it is slow then, whatever its version. */
  readonly isColdStart: boolean;
}

/**
 * Whether the attempt failed or was late; undefined if its outcome does not reflect on the backend.
 */
export function isBadAttempt(
  outcome: AttemptOutcome,
  { targetLatencyMs, maxPauseMs }: Route,
  { firstEventMs, longestPauseMs, isColdStart }: AttemptTimes,
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

/** Returns the latencies of an attempt that ended `sinceSendMs` after it was sent. */
export function timesOf(progress: AttemptProgress | undefined, sinceSendMs: number): AttemptTimes {
  return {
    firstEventMs: progress?.firstEventMs ?? sinceSendMs,
    longestPauseMs: progress?.longestPauseMs ?? 0,
    isColdStart: progress?.isColdStart ?? false,
  };
}

/** Returns the outcome of a failed attempt. */
export function outcomeOfFailure({ isPortClosed, isSilent }: AttemptFailure): AttemptOutcome {
  if (isPortClosed) {
    return 'unreachable';
  }
  return isSilent === true ? 'silent' : 'failed';
}
