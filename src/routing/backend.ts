/** The announcement of a backend in the cluster's store. */
import type { HeaderValue } from '../http/header-value.js';
import type { StorePosition } from '../cluster/store-position.js';

/** Whether a backend takes new requests. */
export type BackendState = 'ready' | 'draining';

/**
 * One incarnation of a backend: one process, from its start to its end. The position is that of its
 * announcement in the store: of two announcements for one address, the later one is in force.
 */
export interface Backend extends StorePosition {
  /** Identifies this incarnation; statistics are indexed by it. */
  readonly id: string;
  /** Announced name, by which the process is addressed; several incarnations may share it. */
  readonly name: HeaderValue;
  /** Start time by its own clock, in Unix milliseconds; undefined where not announced. */
  readonly bornAtMs: number | undefined;
  readonly service: string;
  /** IPv4 address and port. */
  readonly address: string;
  readonly zone: string;
  /** Software version; empty where none is announced. */
  readonly version: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly state: BackendState;
  /** Increases with each announcement of this incarnation. */
  readonly sequence: number;
  /** Remaining cold-start time when announced, in milliseconds; 0 once it is warm. */
  readonly remainingColdMs: number;
}
