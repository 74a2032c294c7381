/** Reads a paginated listing. */
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

/** Reads the page after `lastKey`; the first page if it is undefined. */
export type ReadPage<Failure> = (
  lastKey: string | undefined,
) => Promise<Result<ListingPage, Failure>>;

/** Reads all pages; fails if the epoch of the store changes between two of them. */
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
    // The pages are not one snapshot. A watch from the position of the first page returns changes
    // made while paging.
    first ??= page.val;
    if (page.val.epoch !== first.epoch) {
      return err(
        new StoreRestoredError(
          'the store was restored from a backup between two pages of a listing',
        ),
      );
    }
    records.push(...page.val.records);
    if (!page.val.hasMore || page.val.records.length === 0) {
      return ok({ records, ...positionOf(first) });
    }
  }
}
