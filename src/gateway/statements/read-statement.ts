/** Reads what a back end says of itself from the texts of an answer's head. */
import { NO_STATEMENT } from './backend-statement.js';
import type { BackendStatement } from './backend-statement.js';

/** The texts, as the answer has them; undefined where it has none. */
export interface StatementTexts {
  /** Requests a second that the back end takes from all gateways together, as a decimal number. */
  readonly limit: string | undefined;
  /** "1" for a back end that leaves. */
  readonly leaving: string | undefined;
  /** Seconds for which the back end wants nothing from the gateway, as a decimal number. */
  readonly rest: string | undefined;
}

const MS_PER_S = 1_000;
/** A plain decimal number: no sign, no exponent, so neither negative nor infinite. */
const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/;
/** Largest limit that is taken for one, in requests a second; nothing here serves as many. */
const MAX_LIMIT_PER_S = 1_000_000;
/** Longest rest that is taken for one, in seconds. */
const MAX_REST_S = 3_600;
/** The one text that says that a back end leaves. */
const IS_LEAVING = '1';

/**
 * Reads the texts; what cannot be read says nothing. A field that is given twice comes as one text with a comma and
 * cannot be read either.
 */
export function readStatement({ limit, leaving, rest }: StatementTexts): BackendStatement {
  if (limit === undefined && leaving === undefined && rest === undefined) {
    return NO_STATEMENT;
  }
  const limitPerS = readDecimal(limit, MAX_LIMIT_PER_S);
  const restS = readDecimal(rest, MAX_REST_S);
  const isLeaving = leaving === IS_LEAVING;
  const unreadable: string[] = [];
  const noteUnreadable = (field: string, text: string | undefined, isRead: boolean) => {
    if (text !== undefined && !isRead) {
      unreadable.push(field);
    }
  };
  noteUnreadable('limit', limit, limitPerS !== undefined);
  noteUnreadable('leaving', leaving, isLeaving);
  noteUnreadable('rest', rest, restS !== undefined);
  const restMs = restS === undefined ? undefined : restS * MS_PER_S;
  return { limitPerS, isLeaving, restMs, unreadable };
}

function readDecimal(text: string | undefined, most: number): number | undefined {
  const value = text !== undefined && DECIMAL.test(text.trim()) ? Number(text) : NaN;
  return value <= most ? value : undefined;
}
