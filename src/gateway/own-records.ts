/** Records that gateways keep in the cluster's store for themselves, in the product's own formats. */
import type { StorePosition } from '../cluster/store-position.js';
import type { DecodedRecord } from '../routing/decoded-record.js';
import { decodeCrashRecord } from './crashes/crash-record-format.js';
import { decodeQuotaMembers } from './quotas/quota-members-format.js';

/** Names of these records; an adapter says under which keys they stand. */
export type OwnRecordName = 'crashing-requests' | 'quota-members';

/**
 * Reads such a record; `text` is undefined once it was removed.
 *
 * @throws SyntaxError or TypeError if the text is no such record
 */
export function decodeOwnRecord(
  name: string,
  text: string | undefined,
  position: StorePosition,
): DecodedRecord {
  if (name === 'crashing-requests') {
    return { kind: 'crash-record', record: decodeCrashRecord(text, position) };
  }
  if (name === 'quota-members') {
    return { kind: 'quota-members', record: decodeQuotaMembers(text, position) };
  }
  return { kind: 'irrelevant' };
}
