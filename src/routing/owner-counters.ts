/**
 * Counters that the owners of records maintain in the records themselves. They determine the older
 * of two writes of a key if the store's own order does not, because the store was restored from a
 * backup.
 */
import type { CompareOwnerVersions } from '../cluster/replicated-records.js';
import type { DecodedRecord, DecodeRecord } from './decoded-record.js';

/** Returns a comparator of records by their owners' counters, decoded with `decode`. */
export function createOwnerComparator(decode: DecodeRecord): CompareOwnerVersions {
  return (left, right) => {
    const [leftCounters, rightCounters] = [countersOf(decode(left)), countersOf(decode(right))];
    if (leftCounters === undefined || rightCounters === undefined) {
      return undefined;
    }
    const differences = leftCounters.map((counter, index) => counter - (rightCounters[index] ?? 0));
    return differences.find((difference) => difference !== 0) ?? 0;
  };
}

/**
 * Returns the counters of a record, most significant first; undefined for one removed, unreadable
 * or without any.
 */
function countersOf(decoded: DecodedRecord): readonly number[] | undefined {
  if (decoded.kind === 'configuration') {
    return [decoded.configuration.version];
  }
  if (decoded.kind === 'backend' && decoded.announcement !== undefined) {
    const { bornAtMs, sequence } = decoded.announcement;
    return [bornAtMs ?? 0, sequence];
  }
  if (decoded.kind === 'evacuation') {
    // Where it is unknown which write is newer, the evacuation order wins over its removal, so that
    // nothing is sent to the zone.
    return [decoded.change.isOrdered ? 1 : 0];
  }
  if (decoded.kind === 'quota-members' && decoded.record.members !== undefined) {
    return [decoded.record.sequence];
  }
  return undefined;
}
