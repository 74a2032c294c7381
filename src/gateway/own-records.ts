/**
 * Own records: records that gateways write to the cluster's store, in formats independent of the
 * platform.
 */
import type { StorePosition } from '../cluster/store-position.js';
import type { DecodedRecord } from '../routing/decoded-record.js';
import { decodeCrashRecord } from './crashes/crash-record-format.js';
import { decodeQuotaMembers } from './quotas/quota-members-format.js';

/** Names of own records; the adapter maps them to store keys. */
export type OwnRecordName = 'crashing-requests' | 'quota-members';

/** Records that gateways write themselves, and the orders whose rollout states they write. */
const OWN_RECORD_KINDS: ReadonlySet<DecodedRecord['kind']> = new Set([
  'crash-record',
  'quota-members',
  'rollout-order',
  'rollout-status',
]);

/**
 * Decodes an own record; `text` is undefined if it was removed.
 *
 * @throws SyntaxError or TypeError if the text is not a valid record
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

/**
 * Whether records of this kind are also applied if only their position changed: the writes that
 * gateways base on them must name a position in the store's current epoch.
 */
export function isOwnRecord(kind: DecodedRecord['kind']): boolean {
  return OWN_RECORD_KINDS.has(kind);
}
