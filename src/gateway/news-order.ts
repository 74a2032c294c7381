/** Query: the order in which news of the store that came together is taken in. */
import type { DecodedRecord } from '../routing/decoded-record.js';

/** What a piece of news is sorted by. */
export interface DecodedNews {
  readonly decoded: Pick<DecodedRecord, 'kind'>;
}

/**
 * Evacuations come first and back ends last, each kind in the order in which it came: a back end that is taken
 * in serves at once what waits, and has to meet every order and home that came along with it.
 */
export function inOrderOfEffect<News extends DecodedNews>(news: readonly News[]): News[] {
  return [...news].sort((left, right) => rankOf(left) - rankOf(right));
}

function rankOf({ decoded: { kind } }: DecodedNews): number {
  if (kind === 'evacuation') {
    return 0;
  }
  return kind === 'backend' ? 2 : 1;
}
