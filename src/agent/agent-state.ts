/** What an agent holds: bids, calls, running requests and answers not yet acknowledged. */
import type { ProcessIdentity } from '../membership/machine.js';
import type { AgentOptions } from '../options.js';
import type { PolicyExchange } from '../policy/exchange.js';
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
  /** Whether the entry has heard that this agent leaves. */
  hasAcknowledgedLeave: boolean;
}

/** A bid that was called and waits for its bind. */
export interface OutstandingCall {
  readonly peer: string;
  readonly tier: Tier;
  readonly calledAtMs: number;
  /** True when a running lower tier makes room only once the bind comes. */
  readonly needsPreemption: boolean;
}

/** A bind that waits for the policy generation it was made under. */
export interface PendingBind {
  readonly request: BindMessage;
  readonly peer: string;
  readonly receivedAtMs: number;
}

/** Where a request on the engine stands. */
export type RunPhase = 'running' | 'paused' | 'finished';

/** A request that was handed to the engine, with its answer so far. */
export interface EngineRequest {
  readonly request: BindMessage;
  /** Incarnation of the entry that bound it. */
  readonly peer: string;
  readonly startedAtMs: number;
  phase: RunPhase;
  /** Answer messages so far, in order; kept until the entry acknowledges the end. */
  readonly answer: Message[];
  chunkCount: number;
  finishedAtMs: number | undefined;
  /** Since when its entry has not been connected. */
  orphanedAtMs: number | undefined;
}

/** All that an agent holds; nothing of it outlives the process. */
export interface AgentState {
  readonly identity: ProcessIdentity;
  readonly options: AgentOptions;
  readonly replica: PolicyReplica;
  readonly exchange: PolicyExchange;
  /** Connected entries by incarnation. */
  readonly peers: Map<string, EntryPeer>;
  readonly bids: BidQueue;
  readonly calls: Map<RequestId, OutstandingCall>;
  readonly pendingBinds: Map<RequestId, PendingBind>;
  readonly engineRequests: Map<RequestId, EngineRequest>;
  readonly records: RequestRecords;
  /** When the permits that entries hold lapse, oldest first. */
  readonly permitExpiriesMs: number[];
  /** Time of the last tick; undefined before the first. */
  lastTickAtMs: number | undefined;
  /** Until then, binds are refused: they may be older than a leave that was not heard of yet. */
  distrustBindsUntilMs: number;
  /** Whether the list has shown this start of the process as live. */
  wasListedLive: boolean;
  isLeaving: boolean;
  hasLeft: boolean;
}

/** One turn of an agent: its state, the time, and the effects so far. */
export class AgentTurn {
  readonly effects: AgentEffect[] = [];
  /** Entries whose urgent bids came in this turn; each is told the load if it is not called. */
  readonly urgentPeers = new Set<string>();

  constructor(
    readonly state: AgentState,
    readonly nowMs: number,
  ) {}

  /** Adds an effect. */
  emit(effect: AgentEffect): void {
    this.effects.push(effect);
  }

  /** Sends `message` if the entry is connected. */
  send(peerName: string, message: Message): void {
    const peer = this.state.peers.get(peerName);
    if (peer === undefined) {
      return;
    }
    peer.lastSentAtMs = this.nowMs;
    this.emit({ kind: 'send', peer: peerName, message });
  }

  /** Counts `value` under `metric`. */
  count(metric: string, value = 1, tags?: Readonly<Record<string, string>>): void {
    this.emit({ kind: 'measure', measurement: { metric, value, type: 'count', tags } });
  }

  /** Logs a decision about a request. */
  decide(action: string, request: DecidedRequest, reason: string): void {
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

/** The parts of a request that a decision line names. */
export interface DecidedRequest {
  readonly id: RequestId;
  readonly tier: Tier;
  readonly tenant: string;
}
