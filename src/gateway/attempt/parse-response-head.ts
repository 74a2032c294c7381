/** Validates the heads of backends' responses, so that each one accepted can be forwarded. */
import type { IncomingMessage } from 'node:http';
import { WeirvaleError } from '../../request/errors.js';
import { err, ok } from '../../result.js';
import type { Result } from '../../result.js';
import type { ResponseHead } from './attempt.js';

/** Lowest status of a final response: lower ones announce that the final response follows. */
const MIN_FINAL_STATUS = 200;
/** Highest status that HTTP defines. */
const MAX_FINAL_STATUS = 599;

/** A response whose status is not that of a final response. */
export class InvalidStatusError extends WeirvaleError {
  readonly code = 'invalid-status';

  constructor(readonly status: number | undefined) {
    super(`status ${status} is not the status of a final response`);
  }
}

/** Returns the head of a response; header names and values were validated by the HTTP parser. */
export function parseResponseHead({
  statusCode,
  rawHeaders,
  headers,
}: Pick<IncomingMessage, 'statusCode' | 'rawHeaders' | 'headers'>): Result<
  ResponseHead,
  InvalidStatusError
> {
  const isFinal =
    statusCode !== undefined && statusCode >= MIN_FINAL_STATUS && statusCode <= MAX_FINAL_STATUS;
  return isFinal
    ? ok({ status: statusCode, rawHeaders, headers })
    : err(new InvalidStatusError(statusCode));
}
