/** State of an entry: waiting and bound requests, and connected agents. */
import type { Heap } from 'heap-js';
import type { Machine, ProcessIdentity } from '../membership/machine.js';
import type { EntryOptions } from '../options.js';
import type { PolicySynchronizer } from '../policy/policy-synchronizer.js';
import type { PermittedEngines } from '../policy/eligibility.js';
import type { PolicyReplica } from '../policy/replica.js';
import type { LoadMessage, Message } from '../protocol/messages.js';
import type { RandomSource } from '../random.js';
import type { RequestDescription } from '../request/request.js';
import type { RequestId } from '../request/request-id.js';
import type { EntryEffect } from './entry-events.js';
import type { EngineSpeedEstimates } from './engine-speed-estimates.js';

/** Phase of a request at its entry. */
export type RequestPhase =
  /** Its idempotency key is being claimed. */
  | 'claiming'
  /** Queued for assignment: offered to agents, but not bound. */
  | 'waiting'
  /** Assigned to one agent. */
  | 'bound';

/** The agent that a request is bound to. */
export interface Binding {
  readonly agent: string;
  readonly incarnation: string;
  readonly boundAtMs: number;
  /** When the connection to the agent was lost; undefined while it is connected. */
  disconnectedAtMs: number | undefined;
}

/** A request that arrived at this entry and has not ended. */
export interface ActiveRequest {
  readonly description: RequestDescription;
  readonly arrivedAtMs: number;
  phase: RequestPhase;
  /** Agents with an open bid for the request. */
  readonly bids: Set<string>;
  /** Keys of agent incarnations that refused the request; it is not offered to them again. */
  readonly refusedBy: Set<string>;
  /**
   * When the request became urgent; undefined while it is not. An urgent request is offered to
   * every reachable permitted agent that may preempt a lower tier.
   */
  urgentSinceMs: number | undefined;
  /** Since when no permitted agent has been reachable; undefined while one is. */
  unreachableSinceMs: number | undefined;
  binding: Binding | undefined;
  /** Index of the next chunk to deliver to the caller. */
  nextChunkIndex: number;
  hasStartedResponse: boolean;
  /** Engines permitted by the policy of `generation`; recomputed when the generation changes. */
  permitted: { readonly generation: number; readonly engines: PermittedEngines } | undefined;
  /** Whether the idempotency key is claimed for this request. */
  hasClaim: boolean;
}

/** State of the connection to an agent. */
export type PeerConnectivity = 'disconnected' | 'connecting' | 'connected';

/** An agent in this entry's subset, with the state of its connection. */
export interface AgentPeer {
  machine: Machine;
  connectivity: PeerConnectivity;
  connectionNumber: number;
  /** Incarnation in the last hello message. */
  incarnation: string | undefined;
  /** Whether this incarnation sent a leaving message. */
  isLeaving: boolean;
  /** Whether the machine list marks the agent as leaving. */
  isListedLeaving: boolean;
  lastReceivedAtMs: number;
  lastSentAtMs: number;
  nextConnectAtMs: number;
  reconnectDelayMs: number;
  load: LoadMessage | undefined;
  loadReceivedAtMs: number;
  /** Expiry times of the permits received from this agent, oldest first. */
  permitExpiriesMs: number[];
  readonly bids: Set<RequestId>;
  readonly bound: Set<RequestId>;
}

/** A scheduled check of a request. */
export interface ScheduledCheck {
  readonly atMs: number;
  readonly id: RequestId;
}

/** In-memory state of an entry; none of it survives a restart. */
export interface EntryState {
  readonly identity: ProcessIdentity;
  readonly options: EntryOptions;
  readonly random: RandomSource;
  readonly replica: PolicyReplica;
  readonly policySynchronizer: PolicySynchronizer;
  readonly speedEstimates: EngineSpeedEstimates;
  readonly requests: Map<RequestId, ActiveRequest>;
  readonly peers: Map<string, AgentPeer>;
  readonly scheduledChecks: Heap<ScheduledCheck>;
  readonly waitingByTier: Map<number, Set<RequestId>>;
  readonly activeByTenant: Map<string, number>;
  fleet: readonly Machine[];
  waitingBytes: number;
  isLeaving: boolean;
  hasLeft: boolean;
}

/** Context of handling one event: the state, the current time and the effects so far. */
export class EntryEventContext {
  readonly effects: EntryEffect[] = [];

  constructor(
    readonly state: EntryState,
    readonly nowMs: number,
  ) {}

  /** Appends an effect to the result. */
  emit(effect: EntryEffect): void {
    this.effects.push(effect);
  }

  /** Sends `message`; drops it if the agent is not connected. */
  send(peerName: string, message: Message): void {
    const peer = this.state.peers.get(peerName);
    if (peer?.connectivity !== 'connected') {
      return;
    }
    peer.lastSentAtMs = this.nowMs;
    this.emit({ kind: 'send', peer: peerName, message });
  }

  /** Increments the counter `metric` by `value`. */
  count(metric: string, value = 1, tags?: Readonly<Record<string, string>>): void {
    this.emit({ kind: 'measure', measurement: { metric, value, type: 'count', tags } });
  }

  /** Appends a decision about a request to the decision log. */
  logDecision(
    action: string,
    request: ActiveRequest,
    reason: string,
    chosen?: readonly string[],
  ): void {
    const { id, tenant, tier } = request.description;
    const { generation } = this.state.replica;
    this.emit({
      kind: 'decision',
      decision: { action, id, tenant, tier, chosen, reason, generation },
    });
  }

  /** Records a duration in milliseconds under `metric`. */
  timing(metric: string, value: number, tags?: Readonly<Record<string, string>>): void {
    this.emit({ kind: 'measure', measurement: { metric, value, type: 'timing', tags } });
  }
}

/** Returns the number of waiting requests. */
export function countWaiting(state: EntryState): number {
  let count = 0;
  for (const ids of state.waitingByTier.values()) {
    count += ids.size;
  }
  return count;
}
