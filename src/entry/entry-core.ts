/**
 * Implements the entry role without I/O: takes events and returns effects.
 *
 * The daemon and the simulator use the same class; it has no clock, socket or random source of its
 * own.
 */
import { Heap } from 'heap-js';
import type { ProcessIdentity } from '../membership/machine.js';
import type { EntryOptions } from '../options.js';
import { PolicySynchronizer } from '../policy/policy-synchronizer.js';
import type { PolicySyncMessage } from '../policy/policy-synchronizer.js';
import { PolicyReplica } from '../policy/replica.js';
import type { Message } from '../protocol/messages.js';
import type { RandomSource } from '../random.js';
import { possiblyExecutedRefusal, notExecutedRefusal } from '../request/refusal.js';
import type { RequestId } from '../request/request-id.js';
import { acceptRequest, enqueueRequest } from './commands/accept-request.js';
import { handleCall, handleBidRefused } from './commands/bind-request.js';
import { requeueRequest } from './commands/requeue-request.js';
import {
  abandonRequest,
  deliverChunk,
  endResponse,
  failResponse,
  startResponse,
} from './commands/deliver-response.js';
import { refuseRequest } from './commands/request-lifecycle.js';
import {
  checkResumeTimeout,
  connectPeer,
  disconnectPeer,
  maintainPeers,
  markLeaving,
  refreshPeers,
} from './commands/manage-peers.js';
import { checkWaitingRequest } from './commands/place-bids.js';
import { permittedEngines } from './queries/rank-agents.js';
import { EngineSpeedEstimates } from './engine-speed-estimates.js';
import type { ClaimOutcome, EntryEffect, EntryEvent } from './entry-events.js';
import { EntryEventContext } from './entry-state.js';
import type { AgentPeer, ScheduledCheck, EntryState, ActiveRequest } from './entry-state.js';

/** Dependencies of an entry core. */
export interface EntryCoreDependencies {
  readonly identity: ProcessIdentity;
  readonly options: EntryOptions;
  readonly random: RandomSource;
}

/**
 * State machine of the entry role: admits callers' requests, offers them to agents as bids, binds
 * each to one agent and delivers the response.
 */
export class EntryCore {
  /** Read-only for code outside the core. */
  readonly state: EntryState;

  constructor(dependencies: EntryCoreDependencies) {
    const replica = new PolicyReplica();
    this.state = {
      ...dependencies,
      replica,
      policySynchronizer: new PolicySynchronizer(replica),
      speedEstimates: new EngineSpeedEstimates(),
      requests: new Map(),
      peers: new Map(),
      scheduledChecks: new Heap<ScheduledCheck>((left, right) => left.atMs - right.atMs),
      waitingByTier: new Map(),
      activeByTenant: new Map(),
      fleet: [],
      waitingBytes: 0,
      isLeaving: false,
      hasLeft: false,
    };
  }

  /** Handles one event at `nowMs` and returns the resulting effects in order. */
  handle(event: EntryEvent, nowMs: number): EntryEffect[] {
    const context = new EntryEventContext(this.state, nowMs);
    this.dispatch(context, event);
    this.finishLeaving(context);
    return context.effects;
  }

  private dispatch(context: EntryEventContext, event: EntryEvent): void {
    switch (event.kind) {
      case 'request-arrived':
        acceptRequest(context, event.request);
        break;
      case 'caller-gone':
        abandonRequest(context, event.id);
        break;
      case 'claim-resolved':
        this.resolveClaim(context, event.id, event.outcome);
        break;
      case 'peer-connected':
      case 'peer-disconnected':
      case 'frame':
        this.handlePeerEvent(context, event);
        break;
      case 'fleet':
        this.state.fleet = event.machines;
        refreshPeers(context);
        maintainPeers(context);
        break;
      case 'policy':
        if (this.state.replica.install(event.update) === 'installed') {
          this.onPolicyInstalled(context);
        }
        break;
      case 'tick':
        this.tick(context);
        break;
      case 'leave':
        this.state.isLeaving = true;
        break;
    }
  }

  private handlePeerEvent(
    context: EntryEventContext,
    event: Extract<EntryEvent, { peer: string }>,
  ): void {
    const peer = this.state.peers.get(event.peer);
    if (peer === undefined || peer.connectionNumber !== event.connectionNumber) {
      return;
    }
    if (event.kind === 'peer-connected') {
      connectPeer(context, event.peer, peer, event.hello);
      return;
    }
    if (event.kind === 'peer-disconnected') {
      if (peer.connectivity !== 'disconnected') {
        disconnectPeer(context, event.peer, peer);
      }
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
      this.handleMessage(context, event.peer, peer, message);
    }
  }

  private handleMessage(
    context: EntryEventContext,
    agent: string,
    peer: AgentPeer,
    message: Message,
  ): void {
    switch (message.kind) {
      case 'call':
        handleCall(context, agent, peer, message.id);
        break;
      case 'bid-refused':
        handleBidRefused(context, agent, peer, message.id);
        break;
      case 'bind-refused':
        requeueRequest(context, agent, peer, message.id, message.reason);
        break;
      case 'answer-start':
      case 'answer-chunk':
      case 'answer-end':
      case 'answer-failed':
        this.handleResponseMessage(context, agent, message);
        break;
      case 'leaving':
        markLeaving(context, agent, peer);
        context.send(agent, { kind: 'leaving-acknowledged' });
        break;
      case 'load':
        peer.load = message;
        peer.loadReceivedAtMs = context.nowMs;
        break;
      case 'permit':
        peer.permitExpiriesMs.push(context.nowMs + message.validForMs);
        break;
      case 'policy-request':
      case 'policy-update':
        this.handlePolicy(context, agent, message);
        break;
      default:
        break;
    }
  }

  private handleResponseMessage(
    context: EntryEventContext,
    agent: string,
    message: Extract<
      Message,
      { kind: 'answer-start' | 'answer-chunk' | 'answer-end' | 'answer-failed' }
    >,
  ): void {
    const request = this.findBoundTo(agent, message.id);
    if (request === undefined) {
      // No caller awaits this response: the agent may drop it, and stop the request if it runs.
      context.send(agent, { kind: 'cancel', id: message.id });
      return;
    }
    switch (message.kind) {
      case 'answer-start':
        startResponse(context, request, message.status, message.contentType);
        break;
      case 'answer-chunk':
        deliverChunk(context, agent, request, message);
        break;
      case 'answer-end':
        endResponse(context, agent, request, message);
        break;
      case 'answer-failed':
        failResponse(context, agent, request, message);
        break;
    }
  }

  /** Returns the request if it is bound to the connected incarnation of the agent. */
  private findBoundTo(agent: string, id: RequestId): ActiveRequest | undefined {
    const request = this.state.requests.get(id);
    const peer = this.state.peers.get(agent);
    const isBoundToPeer =
      request?.binding?.agent === agent && request.binding.incarnation === peer?.incarnation;
    return isBoundToPeer ? request : undefined;
  }

  private resolveClaim(context: EntryEventContext, id: RequestId, outcome: ClaimOutcome): void {
    const request = this.state.requests.get(id);
    if (request === undefined || request.phase !== 'claiming') {
      return;
    }
    const { retryAfterMs } = this.state.options;
    if (outcome === 'taken') {
      const detail = 'this Idempotency-Key was used before; that request may have run';
      refuseRequest(context, request, possiblyExecutedRefusal('duplicate-request', detail));
      return;
    }
    if (outcome === 'unavailable') {
      const detail = 'the Idempotency-Key could not be claimed';
      refuseRequest(
        context,
        request,
        notExecutedRefusal('platform-unavailable', detail, retryAfterMs),
      );
      return;
    }
    request.hasClaim = true;
    enqueueRequest(context, request);
  }

  private handlePolicy(
    context: EntryEventContext,
    agent: string,
    message: PolicySyncMessage,
  ): void {
    const { reply, isInstalled } = this.state.policySynchronizer.handleMessage(message);
    if (reply !== undefined) {
      context.send(agent, reply);
    }
    if (isInstalled) {
      this.onPolicyInstalled(context);
    }
  }

  private onPolicyInstalled(context: EntryEventContext): void {
    context.count('policy.installed');
    refreshPeers(context);
    for (const request of [...this.state.requests.values()]) {
      this.refuseIfNoLongerPermitted(context, request);
    }
  }

  private refuseIfNoLongerPermitted(context: EntryEventContext, request: ActiveRequest): void {
    const isUnbound = request.phase !== 'bound';
    if (isUnbound && permittedEngines(this.state, request).engines.length === 0) {
      const detail = 'policy changed and no longer permits this request on any engine';
      refuseRequest(context, request, notExecutedRefusal('not-permitted', detail));
    }
  }

  private tick(context: EntryEventContext): void {
    const { scheduledChecks, requests } = this.state;
    let next = scheduledChecks.peek();
    while (next !== undefined && next.atMs <= context.nowMs) {
      scheduledChecks.pop();
      const request = requests.get(next.id);
      if (request?.phase === 'waiting') {
        checkWaitingRequest(context, request);
      } else if (request?.phase === 'bound') {
        checkResumeTimeout(context, request);
      }
      next = scheduledChecks.peek();
    }
    maintainPeers(context);
  }

  private finishLeaving(context: EntryEventContext): void {
    if (this.state.isLeaving && !this.state.hasLeft && this.state.requests.size === 0) {
      this.state.hasLeft = true;
      context.emit({ kind: 'left' });
    }
  }
}
