/** State of an agent: bids, calls, running requests and unacknowledged responses. */
import type { ProcessIdentity } from '../membership/machine.js';
import type { AgentOptions } from '../options.js';
import type { PolicySynchronizer } from '../policy/policy-synchronizer.js';
import type { PolicyReplica } from '../policy/replica.js';
import type { BindMessage, Message } from '../protocol/messages.js';
import type { RequestId } from '../request/request-id.js';
import type { Tier } from '../request/tier.js';
import type { AgentEffect } from './agent-events.js';
import type { BidQueue } from './bid-queue.js';
import type { RequestRecords } from './request-records.js';

/** A connected entry. */
export interface EntryPeer {
  readonly incarnation: string;
  readonly name: string;
  readonly connectionNumber: number;
  lastReceivedAtMs: number;
  lastSentAtMs: number;
  lastLoadSentAtMs: number;
  /** Whether the entry has acknowledged that this agent is leaving. */
  hasAcknowledgedLeave: boolean;
}

/** A call that was sent: it offers a slot for a bid, and awaits the bind from the bid's entry. */
export interface OutstandingCall {
  readonly peer: string;
  readonly tier: Tier;
  readonly calledAtMs: number;
  /** Whether the bind will need to preempt a running request of a lower tier. */
  readonly needsPreemption: boolean;
}

/** A bind that waits until the policy generation that it refers to is installed. */
export interface PendingBind {
  readonly request: BindMessage;
  readonly peer: string;
  readonly receivedAtMs: number;
}

/**
 * State of a request on the engine; `finished` lasts until the entry acknowledges the response or
 * the retention time ends.
 */
export type EngineRequestPhase = 'running' | 'paused' | 'finished';

/** A request that was sent to the engine, with its response so far. */
export interface EngineRequest {
  readonly request: BindMessage;
  /** Incarnation of the entry that sent the bind. */
  readonly peer: string;
  readonly startedAtMs: number;
  phase: EngineRequestPhase;
  /** Response messages so far, in order; retained for resending after a reconnect. */
  readonly responseMessages: Message[];
  chunkCount: number;
  finishedAtMs: number | undefined;
  /** When the connection to its entry was lost; undefined while the entry is connected. */
  orphanedAtMs: number | undefined;
}

/** In-memory state of an agent; none of it survives a restart. */
export interface AgentState {
  readonly identity: ProcessIdentity;
  readonly options: AgentOptions;
  readonly replica: PolicyReplica;
  readonly policySynchronizer: PolicySynchronizer;
  /** Connected entries by incarnation. */
  readonly peers: Map<string, EntryPeer>;
  readonly bids: BidQueue;
  readonly calls: Map<RequestId, OutstandingCall>;
  readonly pendingBinds: Map<RequestId, PendingBind>;
  readonly engineRequests: Map<RequestId, EngineRequest>;
  readonly records: RequestRecords;
  /** Expiry times of the outstanding permits, oldest first. */
  readonly permitExpiriesMs: number[];
  /** Time of the last tick; undefined before the first. */
  lastTickAtMs: number | undefined;
  /**
   * Time until which binds are refused after a pause of the process: a leave signal that arrived
   * during the pause may not have been handled yet.
   */
  refuseBindsUntilMs: number;
  /** Whether the machine list has marked this incarnation as live. */
  wasListedLive: boolean;
  isLeaving: boolean;
  hasLeft: boolean;
}

/** Context of handling one event: the state, the current time and the effects so far. */
export class AgentEventContext {
  readonly effects: AgentEffect[] = [];
  /** Entries that sent an urgent bid in this event; each gets a load report. */
  readonly urgentBidPeers = new Set<string>();

  constructor(
    readonly state: AgentState,
    readonly nowMs: number,
  ) {}

  /** Appends an effect to the result. */
  emit(effect: AgentEffect): void {
    this.effects.push(effect);
  }

  /** Sends `message`; drops it if the entry is not connected. */
  send(peerName: string, message: Message): void {
    const peer = this.state.peers.get(peerName);
    if (peer === undefined) {
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
  logDecision(action: string, request: LoggedRequest, reason: string): void {
    this.emit({
      kind: 'decision',
      decision: {
        action,
        id: request.id,
        tier: request.tier,
        tenant: request.tenant,
        chosen: [this.state.identity.name],
        reason,
        generation: this.state.replica.generation,
      },
    });
  }
}

/** The fields of a request that a decision record contains. */
export interface LoggedRequest {
  readonly id: RequestId;
  readonly tier: Tier;
  readonly tenant: string;
}
