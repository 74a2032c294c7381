/** Determines the order in which store updates that arrive together are applied. */
import type { DecodedRecord } from '../routing/decoded-record.js';

/** The part of an update that determines its order. */
export interface DecodedUpdate {
  readonly decoded: Pick<DecodedRecord, 'kind'>;
}

/**
 * Sorts evacuations first and backends last; updates of equal rank keep their order of arrival. A
 * backend starts to serve waiting requests as soon as it is applied, so the orders and allowed
 * regions that arrived with it must be applied before it.
 */
export function sortByApplyOrder<Update extends DecodedUpdate>(
  updates: readonly Update[],
): Update[] {
  return [...updates].sort((left, right) => rankOf(left) - rankOf(right));
}

function rankOf({ decoded: { kind } }: DecodedUpdate): number {
  if (kind === 'evacuation') {
    return 0;
  }
  return kind === 'backend' ? 2 : 1;
}
