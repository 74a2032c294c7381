/** Values of HTTP headers. */
import { WeirvaleError } from '../request/errors.js';

declare const brand: unique symbol;

/** Text that can be sent as the value of an HTTP header; created only by this module. */
export type HeaderValue = string & { readonly [brand]: true };

/** A text that no header can carry. */
export class InvalidHeaderValueError extends WeirvaleError {
  readonly code = 'invalid-header-value';

  constructor(readonly text: string) {
    super(`${JSON.stringify(text)} cannot be the value of a header`);
  }
}

/**
 * Visible characters, one byte each, with spaces and tabs only between them: recipients strip
 * surrounding white space.
 */
const HEADER_VALUE = /^(?:[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)?$/;

/** Returns `text` if it can be sent as a header value and is received unchanged. */
export function parseHeaderValue(text: string): HeaderValue | undefined {
  return HEADER_VALUE.test(text) ? (text as HeaderValue) : undefined;
}

/**
 * Returns a text that is known to be a header value.
 *
 * @throws {InvalidHeaderValueError} if it is none
 */
export function headerValue(text: string): HeaderValue {
  const value = parseHeaderValue(text);
  if (value === undefined) {
    throw new InvalidHeaderValueError(text);
  }
  return value;
}

/** The empty header value. */
export const EMPTY_HEADER_VALUE = headerValue('');
