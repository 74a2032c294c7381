/** What an entry holds: waiting and bound requests, and the agents it knows. */
import type { Heap } from 'heap-js';
import type { Machine, ProcessIdentity } from '../membership/machine.js';
import type { EntryOptions } from '../options.js';
import type { PolicyExchange } from '../policy/exchange.js';
import type { PermittedEngines } from '../policy/eligibility.js';
import type { PolicyReplica } from '../policy/replica.js';
import type { LoadMessage, Message } from '../protocol/messages.js';
import type { RandomSource } from '../random.js';
import type { RequestDescription } from '../request/request.js';
import type { RequestId } from '../request/request-id.js';
import type { EntryEffect } from './entry-events.js';
import type { EngineSpeeds } from './engine-speeds.js';

/** Where a request stands. */
export type RequestPhase =
  /** Its idempotency key is being claimed. */
  | 'claiming'
  /** Offered to agents, bound to none. */
  | 'waiting'
  /** Given to one agent. */
  | 'bound';

/** To whom a request is bound. */
export interface Binding {
  readonly agent: string;
  readonly incarnation: string;
  readonly boundAtMs: number;
  /** When the connection to the agent broke; undefined while it stands. */
  contactLostAtMs: number | undefined;
}

/** A request that this entry holds. */
export interface HeldRequest {
  readonly description: RequestDescription;
  readonly arrivedAtMs: number;
  phase: RequestPhase;
  /** Agents that hold a bid. */
  readonly bids: Set<string>;
  /** Agents, with incarnation, that refused the request; it is never offered to them again. */
  readonly refusedBy: Set<string>;
  /** Since when bids have been urgent at every reachable permitted agent. */
  urgentSinceMs: number | undefined;
  /** Since when no reachable agent is permitted. */
  unreachableSinceMs: number | undefined;
  binding: Binding | undefined;
  /** Number of the next chunk to hand to the caller. */
  nextChunk: number;
  hasStartedAnswer: boolean;
  /** The engines permitted under the policy of `generation`; found anew when that changes. */
  permitted: { readonly generation: number; readonly engines: PermittedEngines } | undefined;
  /** Whether the idempotency key is claimed for this request. */
  hasClaim: boolean;
}

/** State of the connection to an agent. */
export type PeerConnectivity = 'disconnected' | 'connecting' | 'connected';

/** An agent that this entry keeps a connection to. */
export interface AgentPeer {
  machine: Machine;
  connectivity: PeerConnectivity;
  connectionNumber: number;
  /** Incarnation at the last hello. */
  incarnation: string | undefined;
  /** Whether this incarnation said that it leaves. */
  isLeaving: boolean;
  /** Whether the list shows the machine as leaving. */
  isListedLeaving: boolean;
  lastReceivedAtMs: number;
  lastSentAtMs: number;
  nextConnectAtMs: number;
  reconnectDelayMs: number;
  load: LoadMessage | undefined;
  loadReceivedAtMs: number;
  /** When the permits of this agent lapse, oldest first. */
  permitExpiriesMs: number[];
  readonly bids: Set<RequestId>;
  readonly bound: Set<RequestId>;
}

/** A moment at which a held request must be looked at again. */
export interface DueCheck {
  readonly atMs: number;
  readonly id: RequestId;
}

/** All that an entry holds; nothing of it outlives the process. */
export interface EntryState {
  readonly identity: ProcessIdentity;
  readonly options: EntryOptions;
  readonly random: RandomSource;
  readonly replica: PolicyReplica;
  readonly exchange: PolicyExchange;
  readonly speeds: EngineSpeeds;
  readonly requests: Map<RequestId, HeldRequest>;
  readonly peers: Map<string, AgentPeer>;
  readonly checks: Heap<DueCheck>;
  readonly waitingByTier: Map<number, Set<RequestId>>;
  readonly heldByTenant: Map<string, number>;
  fleet: readonly Machine[];
  waitingBytes: number;
  isLeaving: boolean;
  hasLeft: boolean;
}

/** One turn of an entry: its state, the time, and the effects so far. */
export class EntryTurn {
  readonly effects: EntryEffect[] = [];

  constructor(
    readonly state: EntryState,
    readonly nowMs: number,
  ) {}

  /** Adds an effect. */
  emit(effect: EntryEffect): void {
    this.effects.push(effect);
  }

  /** Sends `message` if the agent is connected. */
  send(peerName: string, message: Message): void {
    const peer = this.state.peers.get(peerName);
    if (peer?.connectivity !== 'connected') {
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
  decide(action: string, held: HeldRequest, reason: string, chosen?: readonly string[]): void {
    const { id, tenant, tier } = held.description;
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

/** Number of waiting requests. */
export function countWaiting(state: EntryState): number {
  let count = 0;
  for (const ids of state.waitingByTier.values()) {
    count += ids.size;
  }
  return count;
}
