/** What an adapter to a platform supplies: its store, its names and its formats. */
import type { ClusterStore, StoreWriteResult } from '../cluster/cluster-store.js';
import type { StorePosition } from '../cluster/store-position.js';
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
   * @param expected - the store's position of the record that it follows; revision 0 for the first
   */
  writeOwnRecord(
    name: OwnRecordName,
    text: string,
    expected: StorePosition,
  ): Promise<StoreWriteResult>;
  /**
   * Writes how far a roll-out has come.
   *
   * @param follows - the store's position of the state that it follows; revision 0 for the first
   */
  writeRolloutState(
    order: RolloutOrder,
    state: RolloutState,
    follows: StorePosition,
  ): Promise<StoreWriteResult>;
}
