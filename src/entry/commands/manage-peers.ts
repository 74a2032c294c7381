/** Commands: keep connections to a bounded set of agents, and deal with broken ones. */
import type { Machine } from '../../membership/machine.js';
import { selectAgents } from '../../membership/subset.js';
import type { HelloMessage } from '../../protocol/messages.js';
import { withJitter } from '../../random.js';
import { mayHaveRun } from '../../request/refusal.js';
import type { AgentPeer, EntryTurn, HeldRequest } from '../entry-state.js';
import { refuseRequest, scheduleCheck } from './finish-request.js';
import { checkWaitingRequest, placeBids } from './place-bids.js';

const RECONNECT_SPREAD = 0.5;

/** Brings the set of peers in line with the live list and the policy in force. */
export function refreshPeers(turn: EntryTurn): void {
  const { state } = turn;
  const selected = selectAgents(state.identity, state.replica.policy, state.fleet, state.options);
  for (const machine of state.fleet) {
    if (selected.has(machine.name)) {
      keepPeer(turn, machine);
    }
  }
  const leaving = new Set(
    state.fleet.filter((machine) => machine.state === 'leaving').map((machine) => machine.name),
  );
  for (const [name, peer] of state.peers) {
    markListed(turn, name, peer, leaving.has(name));
    if (!selected.has(name) && peer.bound.size === 0) {
      dropPeer(turn, name, peer);
    }
  }
}

/** Takes note of a finished handshake; decides bound requests of a dead incarnation, resumes the others. */
export function connectPeer(
  turn: EntryTurn,
  name: string,
  peer: AgentPeer,
  hello: HelloMessage,
): void {
  peer.connectivity = 'connected';
  peer.reconnectDelayMs = turn.state.options.reconnectMinMs;
  peer.lastReceivedAtMs = turn.nowMs;
  peer.lastSentAtMs = turn.nowMs;
  if (peer.incarnation !== hello.incarnation) {
    peer.isLeaving = false;
    peer.load = undefined;
    peer.loadReceivedAtMs = Number.NEGATIVE_INFINITY;
  }
  peer.incarnation = hello.incarnation;
  turn.count('peer.connected');
  for (const id of [...peer.bound]) {
    const held = turn.state.requests.get(id);
    if (held !== undefined) {
      resumeBound(turn, name, held, hello.incarnation);
    }
  }
  offerUnreachable(turn);
}

/** Takes note of a broken connection: its bids go elsewhere, its bound requests wait for it. */
export function disconnectPeer(turn: EntryTurn, name: string, peer: AgentPeer): void {
  const { options, random } = turn.state;
  peer.connectivity = 'disconnected';
  peer.permitExpiriesMs = [];
  peer.nextConnectAtMs = turn.nowMs + withJitter(random, peer.reconnectDelayMs, RECONNECT_SPREAD);
  peer.reconnectDelayMs = Math.min(options.reconnectMaxMs, peer.reconnectDelayMs * 2);
  turn.count('peer.disconnected');
  for (const id of peer.bound) {
    const held = turn.state.requests.get(id);
    if (held?.binding !== undefined && held.binding.contactLostAtMs === undefined) {
      held.binding.contactLostAtMs = turn.nowMs;
      scheduleCheck(turn, held, turn.nowMs + options.resumeTimeoutMs);
    }
  }
  moveAllBids(turn, name, peer);
}

/** Takes note that an agent takes no new work. */
export function markLeaving(turn: EntryTurn, name: string, peer: AgentPeer): void {
  if (peer.isLeaving) {
    return;
  }
  peer.isLeaving = true;
  turn.count('peer.leaving');
  moveAllBids(turn, name, peer);
}

/** Reconnects, probes and gives up connections as due; called at every tick. */
export function maintainPeers(turn: EntryTurn): void {
  const { state } = turn;
  for (const [name, peer] of state.peers) {
    if (peer.connectivity === 'disconnected' && turn.nowMs >= peer.nextConnectAtMs) {
      openConnection(turn, name, peer);
    } else if (peer.connectivity === 'connected') {
      probeConnection(turn, name, peer);
    }
  }
}

/** Tells the caller of a request whose agent did not come back in time that its outcome is unknown. */
export function checkLostContact(turn: EntryTurn, held: HeldRequest): void {
  const lostAtMs = held.binding?.contactLostAtMs;
  if (lostAtMs === undefined) {
    return;
  }
  const { resumeTimeoutMs, retryAfterMs } = turn.state.options;
  if (turn.nowMs - lostAtMs >= resumeTimeoutMs) {
    const detail = 'the connection to the engine broke and did not come back';
    refuseRequest(turn, held, mayHaveRun('engine-lost', detail, retryAfterMs));
  }
}

/** The list may lag behind a replacement, so what it shows is taken back when it changes. */
function markListed(turn: EntryTurn, name: string, peer: AgentPeer, isLeaving: boolean): void {
  const wasLeaving = peer.isListedLeaving;
  peer.isListedLeaving = isLeaving;
  if (isLeaving && !wasLeaving) {
    moveAllBids(turn, name, peer);
  }
}

function keepPeer(turn: EntryTurn, machine: Machine): void {
  const known = turn.state.peers.get(machine.name);
  if (known !== undefined) {
    known.machine = machine;
    return;
  }
  turn.state.peers.set(machine.name, {
    machine,
    connectivity: 'disconnected',
    connectionNumber: 0,
    incarnation: undefined,
    isLeaving: false,
    isListedLeaving: false,
    lastReceivedAtMs: turn.nowMs,
    lastSentAtMs: turn.nowMs,
    nextConnectAtMs: turn.nowMs,
    reconnectDelayMs: turn.state.options.reconnectMinMs,
    load: undefined,
    loadReceivedAtMs: Number.NEGATIVE_INFINITY,
    permitExpiriesMs: [],
    bids: new Set(),
    bound: new Set(),
  });
}

function dropPeer(turn: EntryTurn, name: string, peer: AgentPeer): void {
  if (peer.connectivity !== 'disconnected') {
    const { connectionNumber } = peer;
    turn.emit({ kind: 'disconnect', peer: name, connectionNumber });
  }
  peer.connectivity = 'disconnected';
  turn.state.peers.delete(name);
  moveAllBids(turn, name, peer);
}

function openConnection(turn: EntryTurn, name: string, peer: AgentPeer): void {
  peer.connectivity = 'connecting';
  peer.connectionNumber += 1;
  const { address, port } = peer.machine;
  const { connectionNumber } = peer;
  turn.emit({ kind: 'connect', peer: name, address, port, connectionNumber });
}

function probeConnection(turn: EntryTurn, name: string, peer: AgentPeer): void {
  const { silenceTimeoutMs, pingIntervalMs } = turn.state.options;
  if (turn.nowMs - peer.lastReceivedAtMs >= silenceTimeoutMs) {
    const { connectionNumber } = peer;
    turn.emit({ kind: 'disconnect', peer: name, connectionNumber });
    disconnectPeer(turn, name, peer);
    return;
  }
  if (turn.nowMs - peer.lastSentAtMs >= pingIntervalMs) {
    turn.send(name, { kind: 'ping' });
  }
}

function resumeBound(turn: EntryTurn, agent: string, held: HeldRequest, incarnation: string): void {
  const { id } = held.description;
  if (held.binding === undefined) {
    return;
  }
  if (held.binding.incarnation !== incarnation) {
    const detail = 'the process beside the engine was restarted';
    const { retryAfterMs } = turn.state.options;
    refuseRequest(turn, held, mayHaveRun('engine-lost', detail, retryAfterMs));
    return;
  }
  held.binding.contactLostAtMs = undefined;
  turn.send(agent, { kind: 'resume-answer', id, fromChunk: held.nextChunk });
  turn.count('answer.resumed');
}

function moveAllBids(turn: EntryTurn, name: string, peer: AgentPeer): void {
  const ids = [...peer.bids];
  peer.bids.clear();
  for (const id of ids) {
    const held = turn.state.requests.get(id);
    held?.bids.delete(name);
    if (held?.phase === 'waiting') {
      placeBids(turn, held);
    }
  }
}

/** Requests that no agent could be found for get another look now that one came. */
function offerUnreachable(turn: EntryTurn): void {
  for (const ids of turn.state.waitingByTier.values()) {
    for (const id of [...ids]) {
      const held = turn.state.requests.get(id);
      if (held?.unreachableSinceMs !== undefined) {
        checkWaitingRequest(turn, held);
      }
    }
  }
}
