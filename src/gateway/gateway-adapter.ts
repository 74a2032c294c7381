/** What an adapter to a platform supplies: its store, its names and its formats. */
import type {
  ClusterStore,
  StoreConflictError,
  StoreUnavailableError,
} from '../cluster/cluster-store.js';
import type { Result } from '../result.js';
import type { RolloutOrder, RolloutState } from '../rollout/rollout-order.js';
import type { DecodeRecord } from '../routing/decoded-record.js';
import type { OwnRecordName } from './own-records.js';
import type { CallerProtocol } from './admission/caller-protocol.js';

/** What an adapter supplies to a gateway. */
export interface GatewayAdapter {
  readonly protocol: CallerProtocol;
  readonly store: ClusterStore;
  /** Reads a record of the store. */
  readonly decode: DecodeRecord;
  /**
   * Writes a record that gateways keep for themselves.
   *
   * @param expectedRevision - the store's revision of the record that it follows; 0 for the first
   */
  writeOwnRecord(
    name: OwnRecordName,
    text: string,
    expectedRevision: number,
  ): Promise<Result<number, StoreUnavailableError | StoreConflictError>>;
  /**
   * Writes how far a roll-out has come.
   *
   * @param statusRevision - the store's revision of the state that it follows; 0 for the first
   */
  writeRolloutState(
    order: RolloutOrder,
    state: RolloutState,
    statusRevision: number,
  ): Promise<Result<number, StoreUnavailableError | StoreConflictError>>;
}
