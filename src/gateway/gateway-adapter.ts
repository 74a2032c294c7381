/** What an adapter to a platform supplies: its store, its names and its formats. */
import type { ClusterStore } from '../cluster/store-follower.js';
import type { StoreRecord } from '../cluster/replicated-records.js';
import type { Backend } from '../routing/backend.js';
import type { RoutingConfiguration } from '../routing/configuration.js';
import type { CallerProtocol } from './admission/caller-protocol.js';

/** What a record of the store means. */
export type DecodedRecord =
  | { readonly kind: 'configuration'; readonly configuration: RoutingConfiguration }
  /** `backend` is undefined once it left. */
  | { readonly kind: 'backend'; readonly id: string; readonly backend: Backend | undefined }
  | { readonly kind: 'invalid'; readonly problem: string }
  | { readonly kind: 'irrelevant' };

/** What an adapter supplies to a gateway. */
export interface GatewayAdapter {
  readonly protocol: CallerProtocol;
  readonly store: ClusterStore;
  /** Reads a record of the store. */
  decode(record: StoreRecord): DecodedRecord;
}
