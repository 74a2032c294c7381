/** Parses the statement headers of a response. */
import { NO_STATEMENT } from './backend-statement.js';
import type { BackendStatement } from './backend-statement.js';

/** Header values as received; undefined where the header is missing. */
export interface StatementHeaders {
  /** Limit in requests per second over all gateways, as a decimal number. */
  readonly limit: string | undefined;
  /** "1" if the backend is draining. */
  readonly leaving: string | undefined;
  /** Backoff requested from the gateway, in seconds, as a decimal number. */
  readonly rest: string | undefined;
}

const MS_PER_S = 1_000;
/** Unsigned decimal without exponent, so neither negative nor infinite. */
const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/;
/** Highest accepted limit, in requests per second; far above what any backend serves. */
const MAX_LIMIT_PER_S = 1_000_000;
/** Longest accepted backoff, in seconds. */
const MAX_REST_S = 3_600;
/** The only value that marks a backend as draining. */
const LEAVING_VALUE = '1';

/**
 * Parses the headers and ignores malformed values. A repeated header arrives as one comma-separated
 * value, which is malformed as well.
 */
export function parseStatement({ limit, leaving, rest }: StatementHeaders): BackendStatement {
  if (limit === undefined && leaving === undefined && rest === undefined) {
    return NO_STATEMENT;
  }
  const limitPerS = parseDecimal(limit, MAX_LIMIT_PER_S);
  const restS = parseDecimal(rest, MAX_REST_S);
  const isLeaving = leaving === LEAVING_VALUE;
  const unreadable: string[] = [];
  const recordUnreadable = (field: string, text: string | undefined, isParsed: boolean) => {
    if (text !== undefined && !isParsed) {
      unreadable.push(field);
    }
  };
  recordUnreadable('limit', limit, limitPerS !== undefined);
  recordUnreadable('leaving', leaving, isLeaving);
  recordUnreadable('rest', rest, restS !== undefined);
  const restMs = restS === undefined ? undefined : restS * MS_PER_S;
  return { limitPerS, isLeaving, restMs, unreadable };
}

function parseDecimal(text: string | undefined, maximum: number): number | undefined {
  const value = text !== undefined && DECIMAL.test(text.trim()) ? Number(text) : NaN;
  return value <= maximum ? value : undefined;
}
