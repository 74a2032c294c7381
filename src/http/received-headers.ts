/** Reads values from received headers, keyed by lower-case name. */
import { parseHeaderValue } from './header-value.js';
import type { HeaderValue } from './header-value.js';

/** Received headers, as Node's HTTP parser returns them. */
export type ReceivedHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Returns the first value of a header; undefined if it is missing. */
export function firstValue(headers: ReceivedHeaders, name: string): string | undefined {
  const value = headers[name.toLowerCase()];
  return Array.isArray(value) ? value[0] : value;
}

/** Returns the first value of a header that may be sent on in a header. */
export function sendableValue(headers: ReceivedHeaders, name: string): HeaderValue | undefined {
  const value = firstValue(headers, name);
  return value === undefined ? undefined : parseHeaderValue(value);
}

/** Returns the value of a header as a whole number of at least 0. */
export function wholeNumber(headers: ReceivedHeaders, name: string): number | undefined {
  const value = firstValue(headers, name);
  return value !== undefined && /^\d+$/.test(value) ? Number(value) : undefined;
}
