/** Messages by which a gateway asks a slot agent which process listens at its engine's address. */

/** Asks for the start time of the engine's process, by a probe that begins after the message. */
export interface ProcessQuery {
  readonly kind: 'process-ask';
  /** Identifies the query at its sender. */
  readonly id: number;
}

/** Response to a `process-ask`, sent on the connection on which the query arrived. */
export interface ProcessAnswer {
  readonly kind: 'process-answer';
  readonly id: number;
  /** Address of the engine that was probed, IP:PORT. */
  readonly address: string;
  /** Start time on the engine's clock, in Unix milliseconds; omitted if it is not known. */
  readonly bornAtMs?: number | undefined;
}
