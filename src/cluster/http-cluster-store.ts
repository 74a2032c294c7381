/** Client of a store over HTTP; an adapter describes its paths and bodies. */
import { SurplusGuardAgent } from '../http/surplus-guard-agent.js';
import { err } from '../result.js';
import type { Result } from '../result.js';
import type { SchemaMismatchError } from '../schema.js';
import {
  StoreConflictError,
  StoreHistoryGoneError,
  StoreRestoredError,
  StoreUnavailableError,
} from './cluster-store.js';
import type { ClusterStore, StoreRead, StoreWriter, StoreWriteResult } from './cluster-store.js';
import { callJson } from './json-call.js';
import { listPages } from './paged-listing.js';
import type { ListingPage } from './paged-listing.js';
import { ResponseEpochTracker } from './response-epoch-tracker.js';
import type { StorePosition } from './store-position.js';

const HTTP_OK = 200;
const HTTP_GONE = 410;
const HTTP_CONDITION_FAILED = 412;

/** A write, as it is sent. */
export interface StoreWriteCall {
  readonly path: string;
  readonly body: unknown;
}

/** Paths and bodies of a store. */
export interface StoreWireFormat {
  /** Response header with the epoch of the store, in lower case. */
  readonly epochHeader: string;
  /** Returns the path of the page of a listing after `lastKey`; undefined for the first page. */
  listPath(lastKey: string | undefined): string;
  /** Returns the path of a watch of changes after `revision`, held open for `waitMs`. */
  watchPath(revision: number, waitMs: number): string;
  /** Returns the call that writes `text` under `key` if its revision is still `expectedRevision`. */
  writeCall(key: string, text: string, expectedRevision: number): StoreWriteCall;
  /** Reads a page of a listing, or the result of a watch. */
  parsePage(body: unknown, epoch: number): Result<ListingPage, SchemaMismatchError>;
  /** Reads the revision of a write. */
  parseWrite(body: unknown): Result<number, SchemaMismatchError>;
}

/** Lists, watches and writes records over HTTP, and tracks the epoch of the store. */
export class HttpClusterStore implements ClusterStore, StoreWriter {
  private readonly agent = new SurplusGuardAgent({ keepAlive: true });
  private readonly epochs = new ResponseEpochTracker();

  constructor(
    private readonly address: string,
    private readonly timeoutMs: number,
    private readonly format: StoreWireFormat,
  ) {}

  list() {
    return listPages((lastKey) => this.read(this.format.listPath(lastKey), this.timeoutMs));
  }

  watch(
    { revision }: StorePosition,
    waitMs: number,
  ): Promise<Result<StoreRead, StoreUnavailableError | StoreHistoryGoneError>> {
    return this.read(this.format.watchPath(revision, waitMs), waitMs + this.timeoutMs);
  }

  async put(key: string, text: string, expected: StorePosition): Promise<StoreWriteResult> {
    if (this.epochs.isSuperseded(expected)) {
      return err(
        new StoreRestoredError(`${key}: the expected position predates a restore of the store`),
      );
    }
    const { path, body } = this.format.writeCall(key, text, expected.revision);
    const response = await callJson(
      { address: this.address, path, body },
      this.timeoutMs,
      this.agent,
    );
    if (!response.ok) {
      return err(new StoreUnavailableError(response.val.message));
    }
    const { status, headers, body: result } = response.val;
    if (status === HTTP_CONDITION_FAILED) {
      return err(new StoreConflictError(`${key} was changed after revision ${expected.revision}`));
    }
    if (status !== HTTP_OK) {
      return err(new StoreUnavailableError(`the store responded with status ${status}`));
    }
    const writeEpoch = this.epochs.observe(headers[this.format.epochHeader]);
    if (this.epochs.isSuperseded(expected)) {
      // After a restore, the revision may be another writer's, whose value this write replaced.
      return err(new StoreRestoredError(`the store was restored before ${key} was written`));
    }
    return writeEpoch.andThen((epoch) =>
      this.format
        .parseWrite(result)
        .map((revision) => ({ epoch, revision }))
        .mapErr(toUnavailable),
    );
  }

  private async read(
    path: string,
    timeoutMs: number,
  ): Promise<Result<ListingPage, StoreUnavailableError | StoreHistoryGoneError>> {
    const response = await callJson({ address: this.address, path }, timeoutMs, this.agent);
    if (!response.ok) {
      return err(new StoreUnavailableError(response.val.message));
    }
    const { status, headers, body } = response.val;
    if (status === HTTP_GONE) {
      return err(new StoreHistoryGoneError('the store no longer has the history for the watch'));
    }
    if (status !== HTTP_OK) {
      return err(new StoreUnavailableError(`the store responded with status ${status}`));
    }
    return this.epochs
      .observe(headers[this.format.epochHeader])
      .andThen((epoch) => this.format.parsePage(body, epoch).mapErr(toUnavailable));
  }
}

function toUnavailable({ message }: SchemaMismatchError): StoreUnavailableError {
  return new StoreUnavailableError(`response of the store: ${message}`);
}
