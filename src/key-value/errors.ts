/** Errors of calls to the platform's services. */
import { WeirvaleError } from '../request/errors.js';

/**
 * The service was unreachable or rejected the call. A failed key-value call had no effect; a failed
 * update of the live list may have taken effect, and is safe to retry.
 */
export class PlatformUnavailableError extends WeirvaleError {
  readonly code = 'platform-unavailable';
}

/** No valid response was received; the call may have taken effect. */
export class PlatformAnswerLostError extends WeirvaleError {
  readonly code = 'platform-answer-lost';
}

/** Any error of a platform call. */
export type PlatformError = PlatformUnavailableError | PlatformAnswerLostError;
