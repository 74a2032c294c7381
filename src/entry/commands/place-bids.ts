/** Command: offer a waiting request to agents. */
import type { BidMessage } from '../../protocol/messages.js';
import { notRun } from '../../request/refusal.js';
import type { EntryTurn, HeldRequest } from '../entry-state.js';
import { mayMakeRoom } from '../queries/make-room.js';
import { describeForAgent } from '../queries/describe-request.js';
import { bestServiceMs, rankAgents } from '../queries/rank-agents.js';
import { refuseRequest, scheduleCheck } from './finish-request.js';

const WIDEN_INTERVAL_MS = 500;

/** Offers the request to the best agents until it has as many bids as its age and tier earn. */
export function placeBids(turn: EntryTurn, held: HeldRequest): void {
  const { state } = turn;
  const isUrgent = held.urgentSinceMs !== undefined;
  const ranked = rankAgents(state, held).map((agent) => agent.name);
  const missing = Math.max(0, bidWidthOf(turn, held) - held.bids.size);
  const chosen = ranked.slice(0, missing);
  if (isUrgent) {
    chosen.push(...ranked.slice(missing).filter((name) => mayAskForRoom(turn, held, name)));
  }
  for (const name of chosen) {
    sendBid(turn, held, name, isUrgent);
  }
  if (chosen.length > 0) {
    const reason = isUrgent
      ? 'urgent: wherever a lower tier may make room'
      : 'least expected completion';
    turn.count('bid.sent', chosen.length);
    turn.decide('bid', held, reason, chosen);
  }
  updateReachability(turn, held);
}

/** Looks at a waiting request at a due time: widens, turns urgent, or gives up at once. */
export function checkWaitingRequest(turn: EntryTurn, held: HeldRequest): void {
  const { state } = turn;
  const { options } = state;
  const serviceMs = bestServiceMs(state, held);
  if (serviceMs === undefined) {
    checkUnreachable(turn, held);
    return;
  }
  held.unreachableSinceMs = undefined;
  const latestStartMs = held.description.deadlineAtMs - serviceMs;
  if (turn.nowMs >= latestStartMs - options.urgentSlackMs) {
    makeUrgent(turn, held);
  }
  if (isPastHope(turn, held, latestStartMs)) {
    const detail = 'no permitted engine can finish the request before its deadline';
    refuseRequest(turn, held, notRun('deadline-infeasible', detail, options.retryAfterMs));
    return;
  }
  placeBids(turn, held);
  scheduleCheck(turn, held, nextCheckMs(turn, held, latestStartMs));
}

/** Asks once more for room for a request that was urgent before. */
export function renewUrgency(turn: EntryTurn, held: HeldRequest): void {
  const RENEW_INTERVAL_MS = 50;
  const sinceMs = held.urgentSinceMs;
  if (
    held.phase === 'waiting' &&
    (sinceMs === undefined || turn.nowMs - sinceMs >= RENEW_INTERVAL_MS)
  ) {
    held.urgentSinceMs = undefined;
    makeUrgent(turn, held);
  }
}

/** Makes the request's bids urgent, and offers it to every agent that may have a lower tier to make room. */
export function makeUrgent(turn: EntryTurn, held: HeldRequest): void {
  if (held.urgentSinceMs !== undefined) {
    return;
  }
  held.urgentSinceMs = turn.nowMs;
  for (const agent of held.bids) {
    if (mayAskForRoom(turn, held, agent)) {
      turn.send(agent, createBid(turn, held, true));
    }
  }
  placeBids(turn, held);
}

function mayAskForRoom(turn: EntryTurn, held: HeldRequest, agent: string): boolean {
  const peer = turn.state.peers.get(agent);
  return peer !== undefined && mayMakeRoom(peer, held, turn.nowMs);
}

function isPastHope(turn: EntryTurn, held: HeldRequest, latestStartMs: number): boolean {
  if (turn.nowMs >= held.description.deadlineAtMs) {
    return true;
  }
  const urgentForMs = turn.nowMs - (held.urgentSinceMs ?? turn.nowMs);
  return turn.nowMs >= latestStartMs && urgentForMs >= turn.state.options.urgentGraceMs;
}

function nextCheckMs(turn: EntryTurn, held: HeldRequest, latestStartMs: number): number {
  const { options } = turn.state;
  if (held.urgentSinceMs === undefined) {
    const urgentAtMs = latestStartMs - options.urgentSlackMs;
    return Math.min(turn.nowMs + WIDEN_INTERVAL_MS, urgentAtMs);
  }
  const graceEndMs = held.urgentSinceMs + options.urgentGraceMs;
  return Math.min(held.description.deadlineAtMs, Math.max(latestStartMs, graceEndMs));
}

function checkUnreachable(turn: EntryTurn, held: HeldRequest): void {
  const { options } = turn.state;
  updateReachability(turn, held);
  const since = held.unreachableSinceMs ?? turn.nowMs;
  const giveUpAtMs = Math.min(since + options.noEngineGraceMs, held.description.deadlineAtMs);
  if (turn.nowMs >= giveUpAtMs) {
    const detail = 'no permitted engine can be reached';
    refuseRequest(turn, held, notRun('no-engine', detail, options.retryAfterMs));
    return;
  }
  scheduleCheck(turn, held, giveUpAtMs);
}

function updateReachability(turn: EntryTurn, held: HeldRequest): void {
  if (held.bids.size > 0) {
    held.unreachableSinceMs = undefined;
  } else {
    held.unreachableSinceMs ??= turn.nowMs;
  }
}

/** Width grows with the time waited, and by one with each tier above the third. */
function bidWidthOf(turn: EntryTurn, held: HeldRequest): number {
  const TIERS_WITH_EXTRA_WIDTH = 3;
  const extraForTier = Math.max(0, TIERS_WITH_EXTRA_WIDTH - held.description.tier);
  const waitedMs = turn.nowMs - held.arrivedAtMs;
  return turn.state.options.bidWidth + extraForTier + Math.floor(waitedMs / WIDEN_INTERVAL_MS);
}

function sendBid(turn: EntryTurn, held: HeldRequest, agent: string, isUrgent: boolean): void {
  held.bids.add(agent);
  turn.state.peers.get(agent)?.bids.add(held.description.id);
  turn.send(agent, createBid(turn, held, isUrgent));
}

function createBid(turn: EntryTurn, held: HeldRequest, isUrgent: boolean): BidMessage {
  return { kind: 'bid', ...describeForAgent(turn, held), isUrgent };
}
