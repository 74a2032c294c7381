/** A back end as it announces itself to the cluster's store. */
import type { StorePosition } from '../cluster/store-position.js';

/** Whether a back end takes new requests. */
export type BackendState = 'ready' | 'draining';

/**
 * One life of a back end: a process from its start to its end. The position is that of its announcement in the store:
 * of two at one address the later one is in force.
 */
export interface Backend extends StorePosition {
  /** Names this life; what is learned of it is kept by this. */
  readonly id: string;
  /** Name that it announces itself under and answers to; another life may have it too. */
  readonly name: string;
  /** Its start by its own clock, in Unix milliseconds; undefined where the announcement tells none. */
  readonly bornAtMs: number | undefined;
  readonly service: string;
  /** IPv4 address and port. */
  readonly address: string;
  readonly zone: string;
  /** Version of its software; empty where it names none. */
  readonly version: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly state: BackendState;
  /** Rises with each of its announcements in this life. */
  readonly sequence: number;
  /** How much longer it is slow from its start when it announced this, in milliseconds; 0 once it is warm. */
  readonly remainingColdMs: number;
}
