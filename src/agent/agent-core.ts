/**
 * Implements the agent role without I/O: takes events and returns effects.
 *
 * The daemon and the simulator use the same class; it has no clock, socket or random source of its
 * own.
 */
import type { Machine, ProcessIdentity } from '../membership/machine.js';
import type { AgentOptions } from '../options.js';
import { PolicySynchronizer } from '../policy/policy-synchronizer.js';
import type { PolicySyncMessage } from '../policy/policy-synchronizer.js';
import { PolicyReplica } from '../policy/replica.js';
import type { HelloMessage, Message } from '../protocol/messages.js';
import { entryIncarnationOf } from '../request/request-id.js';
import type { AgentEffect, AgentEvent } from './agent-events.js';
import { AgentEventContext } from './agent-state.js';
import type { AgentState } from './agent-state.js';
import { BidQueue } from './bid-queue.js';
import { sendLoadForUrgentBids, callBids, expireCalls, enqueueBid } from './commands/call-bids.js';
import { detectPause, handleBind, resolvePendingBinds } from './commands/start-request.js';
import { refuseBind } from './commands/refuse-bind.js';
import {
  acknowledgeResponse,
  cancelRequest,
  expireResponses,
  handleEngineEvent,
  resumeResponse,
} from './commands/stream-response.js';
import { createLoadMessage } from './queries/engine-load.js';
import { RequestRecords } from './request-records.js';

/** Dependencies of an agent core. */
export interface AgentCoreDependencies {
  readonly identity: ProcessIdentity;
  readonly options: AgentOptions;
}

/**
 * State machine of the agent role: accepts bids from entries, calls them when its engine has a free
 * slot, runs the bound requests and relays their responses.
 */
export class AgentCore {
  /** Read-only for code outside the core. */
  readonly state: AgentState;

  constructor(dependencies: AgentCoreDependencies) {
    const replica = new PolicyReplica();
    this.state = {
      ...dependencies,
      replica,
      policySynchronizer: new PolicySynchronizer(replica),
      peers: new Map(),
      bids: new BidQueue((tenant) => replica.policy.tenants.get(tenant)?.weight ?? 1),
      calls: new Map(),
      pendingBinds: new Map(),
      engineRequests: new Map(),
      records: new RequestRecords(),
      permitExpiriesMs: [],
      lastTickAtMs: undefined,
      refuseBindsUntilMs: 0,
      wasListedLive: false,
      isLeaving: false,
      hasLeft: false,
    };
  }

  /** Handles one event at `nowMs` and returns the resulting effects in order. */
  handle(event: AgentEvent, nowMs: number): AgentEffect[] {
    const context = new AgentEventContext(this.state, nowMs);
    this.dispatch(context, event);
    callBids(context);
    sendLoadForUrgentBids(context);
    this.finishLeaving(context);
    return context.effects;
  }

  private dispatch(context: AgentEventContext, event: AgentEvent): void {
    switch (event.kind) {
      case 'peer-connected':
        this.connectPeer(context, event.hello);
        break;
      case 'peer-disconnected':
        if (this.state.peers.get(event.peer)?.connectionNumber === event.connectionNumber) {
          this.disconnectPeer(context, event.peer);
        }
        break;
      case 'frame':
        this.handleFrame(context, event);
        break;
      case 'policy':
        if (this.state.replica.install(event.update) === 'installed') {
          this.onPolicyInstalled(context);
        }
        break;
      case 'fleet':
        this.handleMachineList(context, event.ownState);
        break;
      case 'tick':
        this.tick(context);
        break;
      case 'leave':
        this.leave(context);
        break;
      default:
        handleEngineEvent(context, event);
    }
  }

  private connectPeer(context: AgentEventContext, hello: HelloMessage): void {
    const existing = this.state.peers.get(hello.incarnation);
    if (existing !== undefined) {
      const { connectionNumber } = existing;
      context.emit({ kind: 'disconnect', peer: hello.incarnation, connectionNumber });
      this.disconnectPeer(context, hello.incarnation);
    }
    this.state.peers.set(hello.incarnation, {
      incarnation: hello.incarnation,
      name: hello.name,
      connectionNumber: hello.connectionNumber,
      lastReceivedAtMs: context.nowMs,
      lastSentAtMs: context.nowMs,
      lastLoadSentAtMs: context.nowMs,
      hasAcknowledgedLeave: false,
    });
    for (const engineRequest of this.state.engineRequests.values()) {
      if (engineRequest.peer === hello.incarnation) {
        engineRequest.orphanedAtMs = undefined;
      }
    }
    context.send(hello.incarnation, createLoadMessage(this.state));
    if (this.state.isLeaving) {
      context.send(hello.incarnation, { kind: 'leaving' });
    }
  }

  private disconnectPeer(context: AgentEventContext, incarnation: string): void {
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
    for (const engineRequest of this.state.engineRequests.values()) {
      if (engineRequest.peer === incarnation) {
        engineRequest.orphanedAtMs ??= context.nowMs;
      }
    }
  }

  private handleFrame(
    context: AgentEventContext,
    event: Extract<AgentEvent, { kind: 'frame' }>,
  ): void {
    const peer = this.state.peers.get(event.peer);
    if (peer === undefined || peer.connectionNumber !== event.connectionNumber) {
      return;
    }
    peer.lastReceivedAtMs = context.nowMs;
    const { generation } = event.frame;
    const request = this.state.policySynchronizer.onPeerGeneration(
      event.peer,
      generation,
      context.nowMs,
    );
    if (request !== undefined) {
      context.send(event.peer, request);
    }
    for (const message of event.frame.messages) {
      this.handleMessage(context, event.peer, message);
    }
  }

  private handleMessage(context: AgentEventContext, peer: string, message: Message): void {
    if ('id' in message && entryIncarnationOf(message.id) !== peer) {
      // Only the entry that generated a request id may send messages about it.
      context.count('message.foreign_id');
      return;
    }
    switch (message.kind) {
      case 'bid':
        enqueueBid(context, peer, message);
        break;
      case 'withdraw-bids':
        this.withdrawBids(peer, message.ids);
        break;
      case 'bind':
        handleBind(context, peer, message);
        break;
      case 'decline-call':
        this.state.calls.delete(message.id);
        break;
      case 'resume-answer':
        resumeResponse(context, peer, message.id, message.fromChunk);
        break;
      case 'acknowledge':
        acknowledgeResponse(context, message.id);
        break;
      case 'leaving-acknowledged':
        this.acknowledgeLeave(peer);
        break;
      case 'cancel':
        cancelRequest(context, message.id, 'caller-gone');
        break;
      case 'policy-request':
      case 'policy-update':
        this.handlePolicy(context, peer, message);
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

  private handlePolicy(context: AgentEventContext, peer: string, message: PolicySyncMessage): void {
    const { reply, isInstalled } = this.state.policySynchronizer.handleMessage(message);
    if (reply !== undefined) {
      context.send(peer, reply);
    }
    if (isInstalled) {
      this.onPolicyInstalled(context);
    }
  }

  private onPolicyInstalled(context: AgentEventContext): void {
    context.count('policy.installed');
    resolvePendingBinds(context);
  }

  /**
   * Leaves if the machine list marks this process as leaving after it had marked it as live. A
   * stale list may still show the previous process of this name as leaving.
   */
  private handleMachineList(
    context: AgentEventContext,
    ownState: Machine['state'] | undefined,
  ): void {
    if (ownState === 'live') {
      this.state.wasListedLive = true;
    } else if (ownState === 'leaving' && this.state.wasListedLive) {
      this.leave(context);
    }
  }

  private leave(context: AgentEventContext): void {
    if (this.state.isLeaving) {
      return;
    }
    this.state.isLeaving = true;
    for (const peer of this.state.peers.keys()) {
      context.send(peer, { kind: 'leaving' });
    }
    for (const bid of [...this.state.bids.all()]) {
      this.state.bids.remove(bid.id);
    }
    for (const [id, pending] of this.state.pendingBinds) {
      this.state.pendingBinds.delete(id);
      refuseBind(context, pending.peer, id, 'leaving');
    }
  }

  private tick(context: AgentEventContext): void {
    detectPause(context);
    this.state.lastTickAtMs = context.nowMs;
    expireCalls(context);
    resolvePendingBinds(context);
    expireResponses(context);
    this.maintainPeers(context);
  }

  private maintainPeers(context: AgentEventContext): void {
    const { pingIntervalMs, silenceTimeoutMs } = this.state.options;
    for (const [incarnation, peer] of this.state.peers) {
      if (context.nowMs - peer.lastReceivedAtMs >= silenceTimeoutMs) {
        const { connectionNumber } = peer;
        context.emit({ kind: 'disconnect', peer: incarnation, connectionNumber });
        this.disconnectPeer(context, incarnation);
      } else if (context.nowMs - peer.lastSentAtMs >= pingIntervalMs) {
        context.send(incarnation, { kind: 'ping' });
      }
    }
  }

  private acknowledgeLeave(peerName: string): void {
    const peer = this.state.peers.get(peerName);
    if (peer !== undefined) {
      peer.hasAcknowledgedLeave = true;
    }
  }

  /**
   * Emits `left`, which ends the process, only once every connected entry has acknowledged the
   * leave and no request is left: a bind in transit that nobody refuses would be lost.
   */
  private finishLeaving(context: AgentEventContext): void {
    const isAcknowledged = [...this.state.peers.values()].every(
      (peer) => peer.hasAcknowledgedLeave,
    );
    const isIdle = this.state.engineRequests.size === 0 && isAcknowledged;
    if (this.state.isLeaving && !this.state.hasLeft && isIdle) {
      this.state.hasLeft = true;
      context.emit({ kind: 'left' });
    }
  }
}
