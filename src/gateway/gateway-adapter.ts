/**
 * Interface between a gateway and a platform: the store, the caller protocol and the record
 * formats.
 */
import type { ClusterStore, StoreWriteResult } from '../cluster/cluster-store.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { RolloutOrder, RolloutState } from '../rollout/rollout-order.js';
import type { DecodeRecord } from '../routing/decoded-record.js';
import type { OwnRecordName } from './own-records.js';
import type { CallerProtocol } from './admission/caller-protocol.js';

/** The platform-specific parts of a gateway. */
export interface GatewayAdapter {
  readonly protocol: CallerProtocol;
  readonly store: ClusterStore;
  /** Decodes a record of the store. */
  readonly decode: DecodeRecord;
  /**
   * Writes a record that gateways own, if the stored one is still at `expected`.
   *
   * @param expected - store position of the record to replace; revision 0 if there is none
   */
  writeOwnRecord(
    name: OwnRecordName,
    text: string,
    expected: StorePosition,
  ): Promise<StoreWriteResult>;
  /**
   * Writes the state of a rollout, if the stored one is still at `expected`.
   *
   * @param expected - store position of the state to replace; revision 0 if there is none
   */
  writeRolloutState(
    order: RolloutOrder,
    state: RolloutState,
    expected: StorePosition,
  ): Promise<StoreWriteResult>;
}
