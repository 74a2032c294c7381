/** The record of crashing requests as text: the product's own format, wherever the text is kept. */
import type { StorePosition } from '../../cluster/store-position.js';
import type { CrashRecord, StoredCrashes } from './crash-record.js';

/**
 * Reads the record; `text` is undefined once it was removed. Entries that are none are left out.
 *
 * @throws SyntaxError or TypeError if the text is no such record
 */
export function decodeCrashRecord(
  text: string | undefined,
  { epoch, revision }: StorePosition,
): CrashRecord {
  if (text === undefined) {
    return { requests: undefined, epoch, revision };
  }
  const { requests } = JSON.parse(text) as { requests?: unknown };
  if (!Array.isArray(requests)) {
    throw new TypeError('the record of crashing requests has no list');
  }
  return { requests: requests.flatMap(readRequest), epoch, revision };
}

/** The text of the record. */
export function encodeCrashRecord(requests: readonly StoredCrashes[]): string {
  return JSON.stringify({ requests });
}

function readRequest(value: unknown): StoredCrashes[] {
  const { fingerprint, crashes, clearances, changedAtMs } = (value ?? {}) as Partial<StoredCrashes>;
  const hasCounts = isCount(crashes) && isCount(clearances) && isCount(changedAtMs);
  return typeof fingerprint === 'string' && hasCounts
    ? [{ fingerprint, crashes, clearances, changedAtMs }]
    : [];
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
