/** Errors of calls to the platform's services. */
import { WeirvaleError } from '../request/errors.js';

/** The service was unreachable or rejected the call; the call had no effect. */
export class PlatformUnavailableError extends WeirvaleError {
  readonly code = 'platform-unavailable';
}

/** The response was lost; the call may have taken effect. */
export class PlatformAnswerLostError extends WeirvaleError {
  readonly code = 'platform-answer-lost';
}

/** Any error of a platform call. */
export type PlatformError = PlatformUnavailableError | PlatformAnswerLostError;
