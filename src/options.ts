/** Options of the two roles that the cores read, with their units and defaults. */

/** Options of the entry role. */
export interface EntryOptions {
  /** Agents that a waiting request is offered to at once. Default 4. */
  readonly bidWidth: number;
  /** Most waiting requests; beyond it the lowest tier is shed. Default 5,000. */
  readonly maxWaitingRequests: number;
  /** Most bytes of waiting requests. Default 64 MiB. */
  readonly maxWaitingBytes: number;
  /** Slack before the deadline at which a request turns urgent, in milliseconds. Default 1,000. */
  readonly urgentSlackMs: number;
  /** Shortest time that urgent bids stand before their request may be shed, in milliseconds. Default 100. */
  readonly urgentGraceMs: number;
  /** How long a broken connection may take to come back before its answers are lost, in milliseconds. Default 10,000. */
  readonly resumeTimeoutMs: number;
  /** Silence after which an idle connection is probed, in milliseconds. Default 1,000. */
  readonly pingIntervalMs: number;
  /** Silence after which a connection is given up, in milliseconds. Default 4,000. */
  readonly silenceTimeoutMs: number;
  /** Shortest and longest pause between two tries to connect, in milliseconds. Defaults 100 and 5,000. */
  readonly reconnectMinMs: number;
  readonly reconnectMaxMs: number;
  /** Most agents that an entry connects to for one model and place of its own region. Default 32. */
  readonly agentsPerPool: number;
  /** Most agents that an entry connects to for one model and place of another region. Default 2. */
  readonly agentsPerRemotePool: number;
  /** Retry-After of refusals under overload, in milliseconds. Default 2,000. */
  readonly retryAfterMs: number;
  /** How long a request may wait with no reachable permitted engine, in milliseconds. Default 2,000. */
  readonly noEngineGraceMs: number;
}

/** Defaults of the entry role. */
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
  /** Requests that the engine runs at once. Default 8. */
  readonly capacity: number;
  /** Paused requests that the engine can hold beside the running ones. Default 8. */
  readonly maxPaused: number;
  /** Most bids held; beyond it the lowest tier is refused. Default 2,000. */
  readonly maxBids: number;
  /** How long a call waits for its bind, in milliseconds. Default 1,000. */
  readonly callTimeoutMs: number;
  /** How long a higher-tier bid waits before a running lower tier makes room, in milliseconds. Default 200. */
  readonly preemptAfterMs: number;
  /** How long an entry may use a permit, in milliseconds; 0 issues none. Default 4,000. */
  readonly permitLifetimeMs: number;
  /** How long finished answers wait to be acknowledged, in milliseconds. Default 60,000. */
  readonly answerRetentionMs: number;
  /** How long a request runs on while its entry is not connected, in milliseconds; longer than the entries' resume timeout. Default 15,000. */
  readonly orphanTimeoutMs: number;
  /** How long a bind waits for a policy generation that the agent does not know yet, in milliseconds. Default 2,000. */
  readonly policyWaitMs: number;
  /** Silence after which an idle connection is probed, in milliseconds. Default 1,000. */
  readonly pingIntervalMs: number;
  /** Silence after which a connection is given up, in milliseconds. Default 4,000. */
  readonly silenceTimeoutMs: number;
}

/** Defaults of the agent role. */
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
