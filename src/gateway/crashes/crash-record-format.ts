/** Encoding of the crashing-requests record: the project's own format, independent of the store. */
import type { StorePosition } from '../../cluster/store-position.js';
import type { CrashRecord, StoredCrashes } from './crash-record.js';

/**
 * Decodes the record; `text` is undefined if the record was removed. Skips malformed entries.
 *
 * @throws SyntaxError or TypeError if the text is not a valid record
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
    throw new TypeError('the crashing-requests record has no "requests" array');
  }
  return { requests: requests.flatMap(parseStoredCrashes), epoch, revision };
}

/** Encodes the record. */
export function encodeCrashRecord(requests: readonly StoredCrashes[]): string {
  return JSON.stringify({ requests });
}

function parseStoredCrashes(value: unknown): StoredCrashes[] {
  const { fingerprint, crashes, clearances, endedBackends, changedAtMs } = (value ??
    {}) as Partial<StoredCrashes>;
  const hasCounts = isCount(crashes) && isCount(clearances) && isCount(changedAtMs);
  if (typeof fingerprint !== 'string' || !hasCounts) {
    return [];
  }
  if (endedBackends === undefined) {
    return [{ fingerprint, crashes, clearances, changedAtMs }];
  }
  return isStrings(endedBackends)
    ? [{ fingerprint, crashes, clearances, endedBackends, changedAtMs }]
    : [];
}

function isStrings(value: unknown): value is string[] {
  return Array.isArray(value) && value.every((each) => typeof each === 'string');
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
