/** Simulates the stored crash record, in a store that can be restored from a backup without it. */
import { StoreConflictError } from '../../src/cluster/cluster-store.js';
import { NO_EPOCH } from '../../src/cluster/store-position.js';
import type { StorePosition } from '../../src/cluster/store-position.js';
import type { CrashRecord, StoredCrashes } from '../../src/gateway/crashes/crash-record.js';
import type { WeirvaleError } from '../../src/request/errors.js';
import { err, ok } from '../../src/result.js';
import type { Result } from '../../src/result.js';
import { positionAt } from './store-positions.js';

/** Revision of a restored store: lower than that of a record that was written more than once. */
const BACKUP_REVISION = 1;

/** Stored crash record; `deliver` passes each change on to all gateways. */
export class CrashRecordStore {
  /** Undefined while the store holds none. */
  record: CrashRecord | undefined;
  private epoch = NO_EPOCH;
  private revision = 0;

  constructor(private readonly deliver: (record: CrashRecord) => void) {}

  write(
    requests: readonly StoredCrashes[],
    expected: StorePosition,
  ): Result<StorePosition, WeirvaleError> {
    const isExpected =
      expected.epoch === this.epoch && expected.revision === (this.record?.revision ?? 0);
    if (!isExpected) {
      return err(new StoreConflictError('changed'));
    }
    this.revision += 1;
    const position = positionAt(this.revision, this.epoch);
    this.record = { requests, ...position };
    this.deliver(this.record);
    return ok(position);
  }

  /** Restores a backup that was made before the record existed. */
  restoreWithoutRecord(): void {
    this.epoch += 1;
    this.revision = BACKUP_REVISION;
    this.record = undefined;
    this.deliver({ requests: undefined, ...positionAt(this.revision, this.epoch) });
  }
}
