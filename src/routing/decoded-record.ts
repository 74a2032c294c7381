/** What a record of the cluster's store means to a gateway or slot agent. */
import type { CrashRecord } from '../gateway/crashes/crash-record.js';
import type { RolloutOrder, RolloutStatus } from '../rollout/rollout-order.js';
import type { StoreRecord } from '../cluster/replicated-records.js';
import type { Backend } from './backend.js';
import type { RoutingConfiguration } from './configuration.js';
import type { EvacuationChange } from './zone-evacuations.js';

/** What a record of the store means. */
export type DecodedRecord =
  | { readonly kind: 'configuration'; readonly configuration: RoutingConfiguration }
  /** `backend` is undefined once it left. */
  | { readonly kind: 'backend'; readonly id: string; readonly backend: Backend | undefined }
  | { readonly kind: 'evacuation'; readonly change: EvacuationChange }
  | { readonly kind: 'rollout-order'; readonly order: RolloutOrder }
  | { readonly kind: 'rollout-status'; readonly status: RolloutStatus }
  /** `revision` is that of the removal. */
  | { readonly kind: 'rollout-removed'; readonly service: string; readonly revision: number }
  | { readonly kind: 'crash-record'; readonly record: CrashRecord }
  | { readonly kind: 'invalid'; readonly isConfiguration: boolean; readonly problem: string }
  | { readonly kind: 'irrelevant' };

/** Reads a record of the store; never throws. */
export type DecodeRecord = (record: StoreRecord) => DecodedRecord;
