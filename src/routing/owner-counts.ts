/**
 * What the owners of records count themselves. By it the older one of two writes of a key is known where the store's
 * own order does not tell, since it came back from a copy.
 */
import type { CompareByOwner } from '../cluster/replicated-records.js';
import type { DecodedRecord, DecodeRecord } from './decoded-record.js';

/** Compares records by their owners' counts, as `decode` reads them. */
export function createCompareByOwner(decode: DecodeRecord): CompareByOwner {
  return (left, right) => {
    const [leftCounts, rightCounts] = [countsOf(decode(left)), countsOf(decode(right))];
    if (leftCounts === undefined || rightCounts === undefined) {
      return undefined;
    }
    const differences = leftCounts.map((count, index) => count - (rightCounts[index] ?? 0));
    return differences.find((difference) => difference !== 0) ?? 0;
  };
}

/** The counts of a record, the weightiest first; undefined for one that is gone, unreadable or not counted. */
function countsOf(decoded: DecodedRecord): readonly number[] | undefined {
  if (decoded.kind === 'configuration') {
    return [decoded.configuration.version];
  }
  if (decoded.kind === 'backend' && decoded.announcement !== undefined) {
    const { bornAtMs, sequence } = decoded.announcement;
    return [bornAtMs ?? 0, sequence];
  }
  if (decoded.kind === 'evacuation') {
    // Where it is not known which word is the newer one, nothing is sent to the zone.
    return [decoded.change.isOrdered ? 1 : 0];
  }
  if (decoded.kind === 'quota-members' && decoded.record.members !== undefined) {
    return [decoded.record.sequence];
  }
  return undefined;
}
