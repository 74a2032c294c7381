/** What a record of the cluster's store means to a gateway or slot agent. */
import type { QuotaMembersRecord } from '../gateway/quotas/quota-members.js';
import type { CrashRecord } from '../gateway/crashes/crash-record.js';
import type { RolloutOrder, RolloutStatus } from '../rollout/rollout-order.js';
import type { StoreRecord } from '../cluster/replicated-records.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { Announcement } from './backend-lives.js';
import type { RoutingConfiguration } from './configuration.js';
import type { EvacuationChange } from './zone-evacuations.js';

/** The record under a back end's name. */
export interface DecodedBackend {
  readonly kind: 'backend';
  readonly name: string;
  /** Undefined once it left, and where the record names no back end that can be used. */
  readonly announcement: Announcement | undefined;
  /** Why the record cannot be used; missing where it can, or is gone. */
  readonly problem?: string;
}

/** What a record of the store means. */
export type DecodedRecord =
  | { readonly kind: 'configuration'; readonly configuration: RoutingConfiguration }
  | DecodedBackend
  | { readonly kind: 'evacuation'; readonly change: EvacuationChange }
  | { readonly kind: 'rollout-order'; readonly order: RolloutOrder }
  | { readonly kind: 'rollout-status'; readonly status: RolloutStatus }
  /** `position` is that of the removal. */
  | { readonly kind: 'rollout-removed'; readonly service: string; readonly position: StorePosition }
  | {
      readonly kind: 'rollout-status-removed';
      readonly service: string;
      readonly position: StorePosition;
    }
  | { readonly kind: 'crash-record'; readonly record: CrashRecord }
  | { readonly kind: 'quota-members'; readonly record: QuotaMembersRecord }
  | { readonly kind: 'invalid'; readonly isConfiguration: boolean; readonly problem: string }
  | { readonly kind: 'irrelevant' };

/** Reads a record of the store; never throws. */
export type DecodeRecord = (record: StoreRecord) => DecodedRecord;
