/** Decoded form of the records in the cluster's store. */
import type { HeaderValue } from '../http/header-value.js';
import type { QuotaMembersRecord } from '../gateway/quotas/quota-members.js';
import type { CrashRecord } from '../gateway/crashes/crash-record.js';
import type { RolloutOrder, RolloutStatus } from '../rollout/rollout-order.js';
import type { StoreRecord } from '../cluster/replicated-records.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { Announcement } from './backend-incarnations.js';
import type { RoutingConfiguration } from './configuration.js';
import type { EvacuationChange } from './zone-evacuations.js';

/** A backend's record. */
export interface DecodedBackend {
  readonly kind: 'backend';
  readonly name: HeaderValue;
  /** Undefined once the record was removed, and where it is unusable. */
  readonly announcement: Announcement | undefined;
  /** Why the record is unusable; missing where it is usable or was removed. */
  readonly problem?: string;
}

/** A record that is not used. */
export interface InvalidRecord {
  readonly kind: 'invalid';
  readonly isConfiguration: boolean;
  readonly problem: string;
}

/** A record of the store, decoded by kind. */
export type DecodedRecord =
  | { readonly kind: 'configuration'; readonly configuration: RoutingConfiguration }
  | DecodedBackend
  | { readonly kind: 'evacuation'; readonly change: EvacuationChange }
  | { readonly kind: 'rollout-order'; readonly order: RolloutOrder }
  | { readonly kind: 'rollout-status'; readonly status: RolloutStatus }
  /** `position` is the store position of the removal. */
  | { readonly kind: 'rollout-removed'; readonly service: string; readonly position: StorePosition }
  | {
      readonly kind: 'rollout-status-removed';
      readonly service: string;
      readonly position: StorePosition;
    }
  | { readonly kind: 'crash-record'; readonly record: CrashRecord }
  | { readonly kind: 'quota-members'; readonly record: QuotaMembersRecord }
  | InvalidRecord
  | { readonly kind: 'irrelevant' };

/** Decodes a record of the store; never throws. */
export type DecodeRecord = (record: StoreRecord) => DecodedRecord;
