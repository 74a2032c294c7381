/**
 * The agent role without I/O: events in, effects out.
 *
 * The daemon and the simulator drive this very class; it has no clock, socket
 * or random source of its own.
 */
import type { Machine, ProcessIdentity } from '../membership/machine.js';
import type { AgentOptions } from '../options.js';
import { PolicyExchange } from '../policy/exchange.js';
import type { PolicyMessage } from '../policy/exchange.js';
import { PolicyReplica } from '../policy/replica.js';
import type { HelloMessage, Message } from '../protocol/messages.js';
import { entryIncarnationOf } from '../request/request-id.js';
import type { AgentEffect, AgentEvent } from './agent-events.js';
import { AgentTurn } from './agent-state.js';
import type { AgentState } from './agent-state.js';
import { BidQueue } from './bid-queue.js';
import { answerUrgentBids, callBids, expireCalls, holdBid } from './commands/call-bids.js';
import { noticePause, receiveBind, reviewPendingBinds } from './commands/start-request.js';
import { refuseBind } from './commands/refuse-bind.js';
import {
  acknowledgeAnswer,
  cancelRequest,
  expireAnswers,
  handleEngineEvent,
  resumeAnswer,
} from './commands/stream-answer.js';
import { describeLoad } from './queries/engine-load.js';
import { RequestRecords } from './request-records.js';

/** What an agent is made from. */
export interface AgentCoreParts {
  readonly identity: ProcessIdentity;
  readonly options: AgentOptions;
}

/** The agent role without I/O. */
export class AgentCore {
  /** For queries only. */
  readonly state: AgentState;

  constructor(parts: AgentCoreParts) {
    const replica = new PolicyReplica();
    this.state = {
      ...parts,
      replica,
      exchange: new PolicyExchange(replica),
      peers: new Map(),
      bids: new BidQueue((tenant) => replica.policy.tenants.get(tenant)?.weight ?? 1),
      calls: new Map(),
      pendingBinds: new Map(),
      engineRequests: new Map(),
      records: new RequestRecords(),
      permitExpiriesMs: [],
      lastTickAtMs: undefined,
      distrustBindsUntilMs: 0,
      wasListedLive: false,
      isLeaving: false,
      hasLeft: false,
    };
  }

  /** Takes one event at `nowMs` and returns what is to be done, in order. */
  handle(event: AgentEvent, nowMs: number): AgentEffect[] {
    const turn = new AgentTurn(this.state, nowMs);
    this.dispatch(turn, event);
    callBids(turn);
    answerUrgentBids(turn);
    this.finishLeaving(turn);
    return turn.effects;
  }

  private dispatch(turn: AgentTurn, event: AgentEvent): void {
    switch (event.kind) {
      case 'peer-connected':
        this.connectPeer(turn, event.hello);
        break;
      case 'peer-disconnected':
        if (this.state.peers.get(event.peer)?.connectionNumber === event.connectionNumber) {
          this.disconnectPeer(turn, event.peer);
        }
        break;
      case 'frame':
        this.handleFrame(turn, event);
        break;
      case 'policy':
        if (this.state.replica.install(event.update) === 'installed') {
          this.onPolicyInstalled(turn);
        }
        break;
      case 'fleet':
        this.heedList(turn, event.ownState);
        break;
      case 'tick':
        this.tick(turn);
        break;
      case 'leave':
        this.leave(turn);
        break;
      default:
        handleEngineEvent(turn, event);
    }
  }

  private connectPeer(turn: AgentTurn, hello: HelloMessage): void {
    const known = this.state.peers.get(hello.incarnation);
    if (known !== undefined) {
      const { connectionNumber } = known;
      turn.emit({ kind: 'disconnect', peer: hello.incarnation, connectionNumber });
      this.disconnectPeer(turn, hello.incarnation);
    }
    this.state.peers.set(hello.incarnation, {
      incarnation: hello.incarnation,
      name: hello.name,
      connectionNumber: hello.connectionNumber,
      lastReceivedAtMs: turn.nowMs,
      lastSentAtMs: turn.nowMs,
      lastLoadSentAtMs: turn.nowMs,
      hasAcknowledgedLeave: false,
    });
    for (const held of this.state.engineRequests.values()) {
      if (held.peer === hello.incarnation) {
        held.orphanedAtMs = undefined;
      }
    }
    turn.send(hello.incarnation, describeLoad(this.state));
    if (this.state.isLeaving) {
      turn.send(hello.incarnation, { kind: 'leaving' });
    }
  }

  private disconnectPeer(turn: AgentTurn, incarnation: string): void {
    this.state.peers.delete(incarnation);
    for (const bid of [...this.state.bids.all()]) {
      if (bid.peer === incarnation) {
        this.state.bids.remove(bid.id);
      }
    }
    for (const [id, call] of this.state.calls) {
      if (call.peer === incarnation) {
        this.state.calls.delete(id);
      }
    }
    for (const held of this.state.engineRequests.values()) {
      if (held.peer === incarnation) {
        held.orphanedAtMs ??= turn.nowMs;
      }
    }
  }

  private handleFrame(turn: AgentTurn, event: Extract<AgentEvent, { kind: 'frame' }>): void {
    const peer = this.state.peers.get(event.peer);
    if (peer === undefined || peer.connectionNumber !== event.connectionNumber) {
      return;
    }
    peer.lastReceivedAtMs = turn.nowMs;
    const { generation } = event.frame;
    const request = this.state.exchange.onPeerGeneration(event.peer, generation, turn.nowMs);
    if (request !== undefined) {
      turn.send(event.peer, request);
    }
    for (const message of event.frame.messages) {
      this.handleMessage(turn, event.peer, message);
    }
  }

  private handleMessage(turn: AgentTurn, peer: string, message: Message): void {
    if ('id' in message && entryIncarnationOf(message.id) !== peer) {
      // Only the entry that minted an id may speak of it.
      turn.count('message.foreign_id');
      return;
    }
    switch (message.kind) {
      case 'bid':
        holdBid(turn, peer, message);
        break;
      case 'withdraw-bids':
        this.withdrawBids(peer, message.ids);
        break;
      case 'bind':
        receiveBind(turn, peer, message);
        break;
      case 'decline-call':
        this.state.calls.delete(message.id);
        break;
      case 'resume-answer':
        resumeAnswer(turn, peer, message.id, message.fromChunk);
        break;
      case 'acknowledge':
        acknowledgeAnswer(turn, message.id);
        break;
      case 'leaving-acknowledged':
        this.acknowledgeLeave(peer);
        break;
      case 'cancel':
        cancelRequest(turn, message.id, 'caller-gone');
        break;
      case 'policy-request':
      case 'policy-update':
        this.handlePolicy(turn, peer, message);
        break;
      default:
        break;
    }
  }

  private withdrawBids(peer: string, ids: readonly string[]): void {
    for (const id of ids) {
      if (entryIncarnationOf(id) === peer) {
        this.state.bids.remove(id);
        this.state.calls.delete(id);
      }
    }
  }

  private handlePolicy(turn: AgentTurn, peer: string, message: PolicyMessage): void {
    const { reply, isInstalled } = this.state.exchange.take(message);
    if (reply !== undefined) {
      turn.send(peer, reply);
    }
    if (isInstalled) {
      this.onPolicyInstalled(turn);
    }
  }

  private onPolicyInstalled(turn: AgentTurn): void {
    turn.count('policy.installed');
    reviewPendingBinds(turn);
  }

  /**
   * A list that lags still shows a replaced process as leaving: that was the start before this
   * one. Only a process that was shown as live can be shown as leaving.
   */
  private heedList(turn: AgentTurn, ownState: Machine['state'] | undefined): void {
    if (ownState === 'live') {
      this.state.wasListedLive = true;
    } else if (ownState === 'leaving' && this.state.wasListedLive) {
      this.leave(turn);
    }
  }

  private leave(turn: AgentTurn): void {
    if (this.state.isLeaving) {
      return;
    }
    this.state.isLeaving = true;
    for (const peer of this.state.peers.keys()) {
      turn.send(peer, { kind: 'leaving' });
    }
    for (const bid of [...this.state.bids.all()]) {
      this.state.bids.remove(bid.id);
    }
    for (const [id, pending] of this.state.pendingBinds) {
      this.state.pendingBinds.delete(id);
      refuseBind(turn, pending.peer, id, 'leaving');
    }
  }

  private tick(turn: AgentTurn): void {
    noticePause(turn);
    this.state.lastTickAtMs = turn.nowMs;
    expireCalls(turn);
    reviewPendingBinds(turn);
    expireAnswers(turn);
    this.maintainPeers(turn);
  }

  private maintainPeers(turn: AgentTurn): void {
    const { pingIntervalMs, silenceTimeoutMs } = this.state.options;
    for (const [incarnation, peer] of this.state.peers) {
      if (turn.nowMs - peer.lastReceivedAtMs >= silenceTimeoutMs) {
        const { connectionNumber } = peer;
        turn.emit({ kind: 'disconnect', peer: incarnation, connectionNumber });
        this.disconnectPeer(turn, incarnation);
      } else if (turn.nowMs - peer.lastSentAtMs >= pingIntervalMs) {
        turn.send(incarnation, { kind: 'ping' });
      }
    }
  }

  private acknowledgeLeave(peerName: string): void {
    const peer = this.state.peers.get(peerName);
    if (peer !== undefined) {
      peer.hasAcknowledgedLeave = true;
    }
  }

  /** The process stays until no bind can be under way to it: a bind that nobody refuses is lost. */
  private finishLeaving(turn: AgentTurn): void {
    const isHeard = [...this.state.peers.values()].every((peer) => peer.hasAcknowledgedLeave);
    const isIdle = this.state.engineRequests.size === 0 && isHeard;
    if (this.state.isLeaving && !this.state.hasLeft && isIdle) {
      this.state.hasLeft = true;
      turn.emit({ kind: 'left' });
    }
  }
}
