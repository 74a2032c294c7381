/** What an adapter to a platform supplies: its store, its names and its formats. */
import type {
  ClusterStore,
  StoreConflictError,
  StoreUnavailableError,
} from '../cluster/store-follower.js';
import type { Result } from '../result.js';
import type { RolloutOrder, RolloutState, RolloutStatus } from '../rollout/rollout-order.js';
import type { StoreRecord } from '../cluster/replicated-records.js';
import type { Backend } from '../routing/backend.js';
import type { RoutingConfiguration } from '../routing/configuration.js';
import type { CallerProtocol } from './admission/caller-protocol.js';

/** What a record of the store means. */
export type DecodedRecord =
  | { readonly kind: 'configuration'; readonly configuration: RoutingConfiguration }
  /** `backend` is undefined once it left. */
  | { readonly kind: 'backend'; readonly id: string; readonly backend: Backend | undefined }
  | { readonly kind: 'rollout-order'; readonly order: RolloutOrder }
  | { readonly kind: 'rollout-status'; readonly status: RolloutStatus }
  | { readonly kind: 'invalid'; readonly problem: string }
  | { readonly kind: 'irrelevant' };

/** What an adapter supplies to a gateway. */
export interface GatewayAdapter {
  readonly protocol: CallerProtocol;
  readonly store: ClusterStore;
  /** Reads a record of the store. */
  decode(record: StoreRecord): DecodedRecord;
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
