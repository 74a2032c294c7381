/**
 * The entry role without I/O: events in, effects out.
 *
 * The daemon and the simulator drive this very class; it has no clock, socket
 * or random source of its own.
 */
import { Heap } from 'heap-js';
import type { ProcessIdentity } from '../membership/machine.js';
import type { EntryOptions } from '../options.js';
import { PolicyExchange } from '../policy/exchange.js';
import type { PolicyMessage } from '../policy/exchange.js';
import { PolicyReplica } from '../policy/replica.js';
import type { Message } from '../protocol/messages.js';
import type { RandomSource } from '../random.js';
import { mayHaveRun, notRun } from '../request/refusal.js';
import type { RequestId } from '../request/request-id.js';
import { acceptRequest, beginWaiting } from './commands/accept-request.js';
import { answerCall, moveBid } from './commands/bind-request.js';
import { takeBackRequest } from './commands/take-back-request.js';
import {
  abandonRequest,
  deliverChunk,
  endAnswer,
  failAnswer,
  startAnswer,
} from './commands/deliver-answer.js';
import { refuseRequest } from './commands/finish-request.js';
import {
  checkLostContact,
  connectPeer,
  disconnectPeer,
  maintainPeers,
  markLeaving,
  refreshPeers,
} from './commands/manage-peers.js';
import { checkWaitingRequest } from './commands/place-bids.js';
import { permittedEngines } from './queries/rank-agents.js';
import { EngineSpeeds } from './engine-speeds.js';
import type { ClaimOutcome, EntryEffect, EntryEvent } from './entry-events.js';
import { EntryTurn } from './entry-state.js';
import type { AgentPeer, DueCheck, EntryState, HeldRequest } from './entry-state.js';

/** What an entry is made from. */
export interface EntryCoreParts {
  readonly identity: ProcessIdentity;
  readonly options: EntryOptions;
  readonly random: RandomSource;
}

/** The entry role without I/O. */
export class EntryCore {
  /** For queries only. */
  readonly state: EntryState;

  constructor(parts: EntryCoreParts) {
    const replica = new PolicyReplica();
    this.state = {
      ...parts,
      replica,
      exchange: new PolicyExchange(replica),
      speeds: new EngineSpeeds(),
      requests: new Map(),
      peers: new Map(),
      checks: new Heap<DueCheck>((left, right) => left.atMs - right.atMs),
      waitingByTier: new Map(),
      heldByTenant: new Map(),
      fleet: [],
      waitingBytes: 0,
      isLeaving: false,
      hasLeft: false,
    };
  }

  /** Takes one event at `nowMs` and returns what is to be done, in order. */
  handle(event: EntryEvent, nowMs: number): EntryEffect[] {
    const turn = new EntryTurn(this.state, nowMs);
    this.dispatch(turn, event);
    this.finishLeaving(turn);
    return turn.effects;
  }

  private dispatch(turn: EntryTurn, event: EntryEvent): void {
    switch (event.kind) {
      case 'request-arrived':
        acceptRequest(turn, event.request);
        break;
      case 'caller-gone':
        abandonRequest(turn, event.id);
        break;
      case 'claim-resolved':
        this.resolveClaim(turn, event.id, event.outcome);
        break;
      case 'peer-connected':
      case 'peer-disconnected':
      case 'frame':
        this.handlePeerEvent(turn, event);
        break;
      case 'fleet':
        this.state.fleet = event.machines;
        refreshPeers(turn);
        maintainPeers(turn);
        break;
      case 'policy':
        if (this.state.replica.install(event.update) === 'installed') {
          this.onPolicyInstalled(turn);
        }
        break;
      case 'tick':
        this.tick(turn);
        break;
      case 'leave':
        this.state.isLeaving = true;
        break;
    }
  }

  private handlePeerEvent(turn: EntryTurn, event: Extract<EntryEvent, { peer: string }>): void {
    const peer = this.state.peers.get(event.peer);
    if (peer === undefined || peer.connectionNumber !== event.connectionNumber) {
      return;
    }
    if (event.kind === 'peer-connected') {
      connectPeer(turn, event.peer, peer, event.hello);
      return;
    }
    if (event.kind === 'peer-disconnected') {
      if (peer.connectivity !== 'disconnected') {
        disconnectPeer(turn, event.peer, peer);
      }
      return;
    }
    peer.lastReceivedAtMs = turn.nowMs;
    const { generation } = event.frame;
    const request = this.state.exchange.onPeerGeneration(event.peer, generation, turn.nowMs);
    if (request !== undefined) {
      turn.send(event.peer, request);
    }
    for (const message of event.frame.messages) {
      this.handleMessage(turn, event.peer, peer, message);
    }
  }

  private handleMessage(turn: EntryTurn, agent: string, peer: AgentPeer, message: Message): void {
    switch (message.kind) {
      case 'call':
        answerCall(turn, agent, peer, message.id);
        break;
      case 'bid-refused':
        moveBid(turn, agent, peer, message.id);
        break;
      case 'bind-refused':
        takeBackRequest(turn, agent, peer, message.id, message.reason);
        break;
      case 'answer-start':
      case 'answer-chunk':
      case 'answer-end':
      case 'answer-failed':
        this.handleAnswer(turn, agent, message);
        break;
      case 'leaving':
        markLeaving(turn, agent, peer);
        turn.send(agent, { kind: 'leaving-acknowledged' });
        break;
      case 'load':
        peer.load = message;
        peer.loadReceivedAtMs = turn.nowMs;
        break;
      case 'permit':
        peer.permitExpiriesMs.push(turn.nowMs + message.validForMs);
        break;
      case 'policy-request':
      case 'policy-update':
        this.handlePolicy(turn, agent, message);
        break;
      default:
        break;
    }
  }

  private handleAnswer(
    turn: EntryTurn,
    agent: string,
    message: Extract<
      Message,
      { kind: 'answer-start' | 'answer-chunk' | 'answer-end' | 'answer-failed' }
    >,
  ): void {
    const held = this.findBoundTo(agent, message.id);
    if (held === undefined) {
      // Nobody waits for it any more: the agent may forget it, and stop if it still runs.
      turn.send(agent, { kind: 'cancel', id: message.id });
      return;
    }
    switch (message.kind) {
      case 'answer-start':
        startAnswer(turn, held, message.status, message.contentType);
        break;
      case 'answer-chunk':
        deliverChunk(turn, agent, held, message);
        break;
      case 'answer-end':
        endAnswer(turn, agent, held, message);
        break;
      case 'answer-failed':
        failAnswer(turn, agent, held, message);
        break;
    }
  }

  /** The request, if it is bound to this very incarnation of the agent. */
  private findBoundTo(agent: string, id: RequestId): HeldRequest | undefined {
    const held = this.state.requests.get(id);
    const peer = this.state.peers.get(agent);
    const isBoundHere =
      held?.binding?.agent === agent && held.binding.incarnation === peer?.incarnation;
    return isBoundHere ? held : undefined;
  }

  private resolveClaim(turn: EntryTurn, id: RequestId, outcome: ClaimOutcome): void {
    const held = this.state.requests.get(id);
    if (held === undefined || held.phase !== 'claiming') {
      return;
    }
    const { retryAfterMs } = this.state.options;
    if (outcome === 'taken') {
      const detail = 'this Idempotency-Key was used before; that request may have run';
      refuseRequest(turn, held, mayHaveRun('duplicate-request', detail));
      return;
    }
    if (outcome === 'unavailable') {
      const detail = 'the Idempotency-Key could not be claimed';
      refuseRequest(turn, held, notRun('platform-unavailable', detail, retryAfterMs));
      return;
    }
    held.hasClaim = true;
    beginWaiting(turn, held);
  }

  private handlePolicy(turn: EntryTurn, agent: string, message: PolicyMessage): void {
    const { reply, isInstalled } = this.state.exchange.take(message);
    if (reply !== undefined) {
      turn.send(agent, reply);
    }
    if (isInstalled) {
      this.onPolicyInstalled(turn);
    }
  }

  private onPolicyInstalled(turn: EntryTurn): void {
    turn.count('policy.installed');
    refreshPeers(turn);
    for (const held of [...this.state.requests.values()]) {
      this.reviewUnderNewPolicy(turn, held);
    }
  }

  private reviewUnderNewPolicy(turn: EntryTurn, held: HeldRequest): void {
    const isUnbound = held.phase !== 'bound';
    if (isUnbound && permittedEngines(this.state, held).engines.length === 0) {
      const detail = 'policy changed and no longer permits this request on any engine';
      refuseRequest(turn, held, notRun('not-permitted', detail));
    }
  }

  private tick(turn: EntryTurn): void {
    const { checks, requests } = this.state;
    let next = checks.peek();
    while (next !== undefined && next.atMs <= turn.nowMs) {
      checks.pop();
      const held = requests.get(next.id);
      if (held?.phase === 'waiting') {
        checkWaitingRequest(turn, held);
      } else if (held?.phase === 'bound') {
        checkLostContact(turn, held);
      }
      next = checks.peek();
    }
    maintainPeers(turn);
  }

  private finishLeaving(turn: EntryTurn): void {
    if (this.state.isLeaving && !this.state.hasLeft && this.state.requests.size === 0) {
      this.state.hasLeft = true;
      turn.emit({ kind: 'left' });
    }
  }
}
