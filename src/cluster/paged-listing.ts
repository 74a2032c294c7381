/** Reads a listing that a store hands out in pages. */
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { StoreRestoredError } from './cluster-store.js';
import type { StoreRead } from './cluster-store.js';
import type { StoreRecord } from './replicated-records.js';
import { positionOf } from './store-position.js';
import type { StorePosition } from './store-position.js';

/** One page of a listing. */
export interface ListingPage extends StoreRead {
  /** Whether further pages follow. */
  readonly hasMore: boolean;
}

/** Reads the page after `lastKey`, or the first one. */
export type ReadPage<Failure> = (
  lastKey: string | undefined,
) => Promise<Result<ListingPage, Failure>>;

/** Reads all pages. */
export async function listPages<Failure>(
  readPage: ReadPage<Failure>,
): Promise<Result<StoreRead, Failure | StoreRestoredError>> {
  const records: StoreRecord[] = [];
  let first: StorePosition | undefined;
  for (;;) {
    const page = await readPage(records.at(-1)?.key);
    if (!page.ok) {
      return err(page.val);
    }
    // Pages are no snapshot: changes after the first page are seen again by the watch.
    first ??= page.val;
    if (page.val.epoch !== first.epoch) {
      return err(new StoreRestoredError('the store came back from a copy between two pages'));
    }
    records.push(...page.val.records);
    if (!page.val.hasMore || page.val.records.length === 0) {
      return ok({ records, ...positionOf(first) });
    }
  }
}
