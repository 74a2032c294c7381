/** A back end as it announces itself to the cluster's store. */

/** Whether a back end takes new requests. */
export type BackendState = 'ready' | 'draining';

/** One incarnation of a back end. */
export interface Backend {
  /** Names this incarnation; a restart has another. */
  readonly id: string;
  readonly service: string;
  /** IPv4 address and port. */
  readonly address: string;
  readonly zone: string;
  /** Version of its software; empty where it names none. */
  readonly version: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly state: BackendState;
  /** How much longer it is slow from its start when it announced this, in milliseconds; 0 once it is warm. */
  readonly remainingColdMs: number;
  /** The store's revision of the announcement: of two at one address the later one is in force. */
  readonly revision: number;
}
