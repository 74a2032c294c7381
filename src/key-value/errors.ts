/** Failures of the platform's services. */
import { WeirvaleError } from '../request/errors.js';

/** The service refused or could not be reached: the call had no effect. */
export class PlatformUnavailableError extends WeirvaleError {
  readonly code = 'platform-unavailable';
}

/** The answer was lost: the call may have taken effect. */
export class PlatformAnswerLostError extends WeirvaleError {
  readonly code = 'platform-answer-lost';
}

/** Any failure of a platform call. */
export type PlatformError = PlatformUnavailableError | PlatformAnswerLostError;
