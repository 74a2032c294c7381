/** Commands that maintain connections to a bounded subset of the agents. */
import type { Machine } from '../../membership/machine.js';
import { selectAgents } from '../../membership/agent-subset.js';
import type { HelloMessage } from '../../protocol/messages.js';
import { withJitter } from '../../random.js';
import { possiblyExecutedRefusal } from '../../request/refusal.js';
import type { AgentPeer, EntryEventContext, ActiveRequest } from '../entry-state.js';
import { refuseRequest, scheduleCheck } from './request-lifecycle.js';
import { checkWaitingRequest, placeBids } from './place-bids.js';

const RECONNECT_JITTER = 0.5;

/** Updates the set of peers from the machine list and the installed policy. */
export function refreshPeers(context: EntryEventContext): void {
  const { state } = context;
  const selected = selectAgents(state.identity, state.replica.policy, state.fleet, state.options);
  for (const machine of state.fleet) {
    if (selected.has(machine.name)) {
      addOrUpdatePeer(context, machine);
    }
  }
  const leaving = new Set(
    state.fleet.filter((machine) => machine.state === 'leaving').map((machine) => machine.name),
  );
  for (const [name, peer] of state.peers) {
    updateListedState(context, name, peer, leaving.has(name));
    if (!selected.has(name) && peer.bound.size === 0) {
      removePeer(context, name, peer);
    }
  }
}

/**
 * Handles a completed handshake: resumes the requests bound to this incarnation, and fails those
 * bound to an earlier one.
 */
export function connectPeer(
  context: EntryEventContext,
  name: string,
  peer: AgentPeer,
  hello: HelloMessage,
): void {
  peer.connectivity = 'connected';
  peer.reconnectDelayMs = context.state.options.reconnectMinMs;
  peer.lastReceivedAtMs = context.nowMs;
  peer.lastSentAtMs = context.nowMs;
  if (peer.incarnation !== hello.incarnation) {
    peer.isLeaving = false;
    peer.load = undefined;
    peer.loadReceivedAtMs = Number.NEGATIVE_INFINITY;
  }
  peer.incarnation = hello.incarnation;
  context.count('peer.connected');
  for (const id of [...peer.bound]) {
    const request = context.state.requests.get(id);
    if (request !== undefined) {
      resumeBoundRequest(context, name, request, hello.incarnation);
    }
  }
  recheckUnreachableRequests(context);
}

/**
 * Handles a lost connection: reassigns its bids and starts the resume timeout of its bound
 * requests.
 */
export function disconnectPeer(context: EntryEventContext, name: string, peer: AgentPeer): void {
  const { options, random } = context.state;
  peer.connectivity = 'disconnected';
  peer.permitExpiriesMs = [];
  peer.nextConnectAtMs =
    context.nowMs + withJitter(random, peer.reconnectDelayMs, RECONNECT_JITTER);
  peer.reconnectDelayMs = Math.min(options.reconnectMaxMs, peer.reconnectDelayMs * 2);
  context.count('peer.disconnected');
  for (const id of peer.bound) {
    const request = context.state.requests.get(id);
    if (request?.binding !== undefined && request.binding.disconnectedAtMs === undefined) {
      request.binding.disconnectedAtMs = context.nowMs;
      scheduleCheck(context, request, context.nowMs + options.resumeTimeoutMs);
    }
  }
  reassignBids(context, name, peer);
}

/** Marks an agent as leaving, as it announced, and reassigns its bids. */
export function markLeaving(context: EntryEventContext, name: string, peer: AgentPeer): void {
  if (peer.isLeaving) {
    return;
  }
  peer.isLeaving = true;
  context.count('peer.leaving');
  reassignBids(context, name, peer);
}

/** Reconnects, sends pings and closes silent connections as due. */
export function maintainPeers(context: EntryEventContext): void {
  const { state } = context;
  for (const [name, peer] of state.peers) {
    if (peer.connectivity === 'disconnected' && context.nowMs >= peer.nextConnectAtMs) {
      openConnection(context, name, peer);
    } else if (peer.connectivity === 'connected') {
      probeConnection(context, name, peer);
    }
  }
}

/**
 * Ends a request whose agent did not reconnect within the resume timeout; its outcome is unknown.
 */
export function checkResumeTimeout(context: EntryEventContext, request: ActiveRequest): void {
  const disconnectedAtMs = request.binding?.disconnectedAtMs;
  if (disconnectedAtMs === undefined) {
    return;
  }
  const { resumeTimeoutMs, retryAfterMs } = context.state.options;
  if (context.nowMs - disconnectedAtMs >= resumeTimeoutMs) {
    const detail = 'the connection to the engine broke and did not come back';
    refuseRequest(context, request, possiblyExecutedRefusal('engine-lost', detail, retryAfterMs));
  }
}

/**
 * Updates whether the machine list marks the agent as leaving, and reassigns its bids once it does.
 * A stale list may still show the previous process of this name, so the mark is cleared when the
 * list no longer shows it.
 */
function updateListedState(
  context: EntryEventContext,
  name: string,
  peer: AgentPeer,
  isLeaving: boolean,
): void {
  const wasLeaving = peer.isListedLeaving;
  peer.isListedLeaving = isLeaving;
  if (isLeaving && !wasLeaving) {
    reassignBids(context, name, peer);
  }
}

function addOrUpdatePeer(context: EntryEventContext, machine: Machine): void {
  const existing = context.state.peers.get(machine.name);
  if (existing !== undefined) {
    existing.machine = machine;
    return;
  }
  context.state.peers.set(machine.name, {
    machine,
    connectivity: 'disconnected',
    connectionNumber: 0,
    incarnation: undefined,
    isLeaving: false,
    isListedLeaving: false,
    lastReceivedAtMs: context.nowMs,
    lastSentAtMs: context.nowMs,
    nextConnectAtMs: context.nowMs,
    reconnectDelayMs: context.state.options.reconnectMinMs,
    load: undefined,
    loadReceivedAtMs: Number.NEGATIVE_INFINITY,
    permitExpiriesMs: [],
    bids: new Set(),
    bound: new Set(),
  });
}

function removePeer(context: EntryEventContext, name: string, peer: AgentPeer): void {
  if (peer.connectivity !== 'disconnected') {
    const { connectionNumber } = peer;
    context.emit({ kind: 'disconnect', peer: name, connectionNumber });
  }
  peer.connectivity = 'disconnected';
  context.state.peers.delete(name);
  reassignBids(context, name, peer);
}

function openConnection(context: EntryEventContext, name: string, peer: AgentPeer): void {
  peer.connectivity = 'connecting';
  peer.connectionNumber += 1;
  const { address, port } = peer.machine;
  const { connectionNumber } = peer;
  context.emit({ kind: 'connect', peer: name, address, port, connectionNumber });
}

function probeConnection(context: EntryEventContext, name: string, peer: AgentPeer): void {
  const { silenceTimeoutMs, pingIntervalMs } = context.state.options;
  if (context.nowMs - peer.lastReceivedAtMs >= silenceTimeoutMs) {
    const { connectionNumber } = peer;
    context.emit({ kind: 'disconnect', peer: name, connectionNumber });
    disconnectPeer(context, name, peer);
    return;
  }
  if (context.nowMs - peer.lastSentAtMs >= pingIntervalMs) {
    context.send(name, { kind: 'ping' });
  }
}

function resumeBoundRequest(
  context: EntryEventContext,
  agent: string,
  request: ActiveRequest,
  incarnation: string,
): void {
  const { id } = request.description;
  if (request.binding === undefined) {
    return;
  }
  if (request.binding.incarnation !== incarnation) {
    const detail = 'the process beside the engine was restarted';
    const { retryAfterMs } = context.state.options;
    refuseRequest(context, request, possiblyExecutedRefusal('engine-lost', detail, retryAfterMs));
    return;
  }
  request.binding.disconnectedAtMs = undefined;
  context.send(agent, { kind: 'resume-answer', id, fromChunk: request.nextChunkIndex });
  context.count('answer.resumed');
}

function reassignBids(context: EntryEventContext, name: string, peer: AgentPeer): void {
  const ids = [...peer.bids];
  peer.bids.clear();
  for (const id of ids) {
    const request = context.state.requests.get(id);
    request?.bids.delete(name);
    if (request?.phase === 'waiting') {
      placeBids(context, request);
    }
  }
}

/** Rechecks the requests that had no reachable agent, after a new connection. */
function recheckUnreachableRequests(context: EntryEventContext): void {
  for (const ids of context.state.waitingByTier.values()) {
    for (const id of [...ids]) {
      const request = context.state.requests.get(id);
      if (request?.unreachableSinceMs !== undefined) {
        checkWaitingRequest(context, request);
      }
    }
  }
}
