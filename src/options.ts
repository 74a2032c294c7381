/** Options of the entry and agent roles, with units and defaults. */

/** Options of the entry role. */
export interface EntryOptions {
  /** Base number of agents that hold a bid for the same waiting request. Default 4. */
  readonly bidWidth: number;
  /**
   * Maximum number of waiting requests; above it, the lowest tier is shed. A small reserve above
   * this limit and `maxWaitingBytes` is used while preemption may free a slot. Default 5,000.
   */
  readonly maxWaitingRequests: number;
  /** Maximum total size of waiting requests, in bytes. Default 64 MiB. */
  readonly maxWaitingBytes: number;
  /**
   * Time before the latest start of a request (its deadline minus its shortest expected service
   * time) from which it is urgent, in milliseconds. Default 1,000.
   */
  readonly urgentSlackMs: number;
  /**
   * Minimum time that a request is urgent before it may be refused ahead of a deadline that can no
   * longer be met, in milliseconds. Default 100.
   */
  readonly urgentGraceMs: number;
  /**
   * Time to reconnect to an agent before its requests are refused as `engine-lost`, in
   * milliseconds. Default 10,000.
   */
  readonly resumeTimeoutMs: number;
  /** Time without sent data after which a ping is sent, in milliseconds. Default 1,000. */
  readonly pingIntervalMs: number;
  /**
   * Time without received data after which a connection is closed, in milliseconds. Default 4,000.
   */
  readonly silenceTimeoutMs: number;
  /** Minimum and maximum reconnect backoff, in milliseconds. Defaults 100 and 5,000. */
  readonly reconnectMinMs: number;
  readonly reconnectMaxMs: number;
  /** Maximum agents an entry connects to per model and place in its own region. Default 32. */
  readonly agentsPerPool: number;
  /** Maximum agents an entry connects to per model and place in another region. Default 2. */
  readonly agentsPerRemotePool: number;
  /** Retry delay suggested in refusals if a retry may succeed, in milliseconds. Default 2,000. */
  readonly retryAfterMs: number;
  /** Maximum wait while no permitted engine is reachable, in milliseconds. Default 2,000. */
  readonly noEngineGraceMs: number;
}

/** Default options of the entry role. */
export const DEFAULT_ENTRY_OPTIONS: EntryOptions = {
  bidWidth: 4,
  maxWaitingRequests: 5_000,
  maxWaitingBytes: 64 * 1024 * 1024,
  urgentSlackMs: 1_000,
  urgentGraceMs: 100,
  resumeTimeoutMs: 10_000,
  pingIntervalMs: 1_000,
  silenceTimeoutMs: 4_000,
  reconnectMinMs: 100,
  reconnectMaxMs: 5_000,
  agentsPerPool: 32,
  agentsPerRemotePool: 2,
  retryAfterMs: 2_000,
  noEngineGraceMs: 2_000,
};

/** Options of the agent role. */
export interface AgentOptions {
  /** Maximum number of requests that the engine runs concurrently. Default 8. */
  readonly capacity: number;
  /**
   * Maximum number of paused requests, in addition to the running ones. At the limit, only urgent
   * bids preempt, and the preempted request fails instead of being paused. Default 8.
   */
  readonly maxPaused: number;
  /** Maximum number of queued bids; above it, the lowest tier is refused. Default 2,000. */
  readonly maxBids: number;
  /**
   * Timeout of a call (the agent's offer to run a bid) without a bind, in milliseconds. Default
   * 1,000.
   */
  readonly callTimeoutMs: number;
  /**
   * Wait of a higher-tier bid before it preempts a running lower-tier request, in milliseconds;
   * urgent bids do not wait. Default 200.
   */
  readonly preemptAfterMs: number;
  /**
   * Validity of a permit (the right of an entry to bind one request without a bid), in
   * milliseconds; 0 disables permits. Default 4,000.
   */
  readonly permitLifetimeMs: number;
  /** Retention of completed, unacknowledged responses, in milliseconds. Default 60,000. */
  readonly answerRetentionMs: number;
  /**
   * Time for which a request continues to run while its entry is disconnected, in milliseconds;
   * must be longer than `resumeTimeoutMs` of the entries. Default 15,000.
   */
  readonly orphanTimeoutMs: number;
  /**
   * Wait of a bind for a policy generation not yet installed at the agent, in milliseconds. Default
   * 2,000.
   */
  readonly policyWaitMs: number;
  /** Time without sent data after which a ping is sent, in milliseconds. Default 1,000. */
  readonly pingIntervalMs: number;
  /**
   * Time without received data after which a connection is closed, in milliseconds. Default 4,000.
   */
  readonly silenceTimeoutMs: number;
}

/** Default options of the agent role. */
export const DEFAULT_AGENT_OPTIONS: AgentOptions = {
  capacity: 8,
  maxPaused: 8,
  maxBids: 2_000,
  callTimeoutMs: 1_000,
  preemptAfterMs: 200,
  permitLifetimeMs: 4_000,
  answerRetentionMs: 60_000,
  orphanTimeoutMs: 15_000,
  policyWaitMs: 2_000,
  pingIntervalMs: 1_000,
  silenceTimeoutMs: 4_000,
};
