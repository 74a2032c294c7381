/** Commands: pass the engine's answer on, keep it until it is acknowledged, and send it again after a reconnect. */
import type { AnswerFailedMessage, Message } from '../../protocol/messages.js';
import type { EngineEvent } from '../agent-events.js';
import type { AgentTurn, EngineRequest } from '../agent-state.js';
import { issuePermit } from './issue-permits.js';
import { refuseBind } from './refuse-bind.js';

/** Takes what the engine says of one request. */
export function handleEngineEvent(turn: AgentTurn, event: EngineEvent): void {
  const held = turn.state.engineRequests.get(event.id);
  if (held === undefined || held.phase === 'finished') {
    return;
  }
  const { id } = event;
  switch (event.kind) {
    case 'engine-started':
      passOn(turn, held, {
        kind: 'answer-start',
        id,
        status: event.status,
        contentType: event.contentType,
      });
      break;
    case 'engine-chunk':
      passOn(turn, held, { kind: 'answer-chunk', id, index: held.chunkCount, data: event.data });
      held.chunkCount += 1;
      break;
    case 'engine-ended':
      finish(turn, held);
      passOn(turn, held, { kind: 'answer-end', id, chunkCount: held.chunkCount, ...event.usage });
      issuePermit(turn, held.peer);
      break;
    case 'engine-failed':
      handleEngineFailure(turn, held, event.isNotStarted, event.detail);
      break;
  }
}

/** Ends a request without a whole answer. */
export function failRequest(
  turn: AgentTurn,
  held: EngineRequest,
  reason: AnswerFailedMessage['reason'],
  detail: string,
): void {
  finish(turn, held);
  countWastedPrefill(turn, held, reason);
  passOn(turn, held, { kind: 'answer-failed', id: held.request.id, reason, detail });
}

/** Sends an answer again from a chunk on, or says what is certain about a request that is not held. */
export function resumeAnswer(turn: AgentTurn, peer: string, id: string, fromChunk: number): void {
  const held = turn.state.engineRequests.get(id);
  if (held !== undefined) {
    held.orphanedAtMs = undefined;
    for (const message of held.answer) {
      if (message.kind !== 'answer-chunk' || message.index >= fromChunk) {
        turn.send(peer, message);
      }
    }
    return;
  }
  if (turn.state.pendingBinds.has(id)) {
    return;
  }
  if (turn.state.records.lookUp(id) === 'unknown') {
    const detail = 'the agent keeps no record of the request any more';
    turn.send(peer, { kind: 'answer-failed', id, reason: 'engine-lost', detail });
    return;
  }
  refuseBind(turn, peer, id, 'never-received');
}

/** Forgets a request whose answer the entry has. */
export function acknowledgeAnswer(turn: AgentTurn, id: string): void {
  const held = turn.state.engineRequests.get(id);
  if (held?.phase === 'finished') {
    forget(turn, held);
  }
}

/** Stops a request that nobody waits for. */
export function cancelRequest(turn: AgentTurn, id: string, reason: string): void {
  turn.state.pendingBinds.delete(id);
  const held = turn.state.engineRequests.get(id);
  if (held === undefined) {
    turn.state.records.refuse(id, turn.nowMs);
    return;
  }
  if (held.phase !== 'finished') {
    turn.emit({ kind: 'engine-cancel', id });
    turn.decide('cancel', held.request, reason);
    countWastedPrefill(turn, held, reason);
  }
  forget(turn, held);
}

/** Forgets answers that nobody came for, and stops requests whose entry is gone. */
export function expireAnswers(turn: AgentTurn): void {
  const { options } = turn.state;
  for (const held of [...turn.state.engineRequests.values()]) {
    const finishedAtMs = held.finishedAtMs ?? turn.nowMs;
    const orphanedAtMs = held.orphanedAtMs ?? turn.nowMs;
    if (turn.nowMs - finishedAtMs >= options.answerRetentionMs) {
      forget(turn, held);
    } else if (turn.nowMs - orphanedAtMs >= options.orphanTimeoutMs) {
      cancelRequest(turn, held.request.id, 'entry-lost');
    }
  }
  turn.state.records.expireRefusals(turn.nowMs - options.answerRetentionMs);
}

function handleEngineFailure(
  turn: AgentTurn,
  held: EngineRequest,
  isNotStarted: boolean,
  detail: string,
): void {
  if (!isNotStarted) {
    failRequest(turn, held, 'engine-failed', detail);
    return;
  }
  turn.state.engineRequests.delete(held.request.id);
  refuseBind(turn, held.peer, held.request.id, 'engine-unreachable');
}

function passOn(turn: AgentTurn, held: EngineRequest, message: Message): void {
  held.answer.push(message);
  turn.send(held.peer, message);
}

function finish(turn: AgentTurn, held: EngineRequest): void {
  held.phase = 'finished';
  held.finishedAtMs = turn.nowMs;
}

function forget(turn: AgentTurn, held: EngineRequest): void {
  const { id } = held.request;
  turn.state.engineRequests.delete(id);
  turn.state.records.drop(id);
}

function countWastedPrefill(turn: AgentTurn, held: EngineRequest, cause: string): void {
  turn.count('prefill.wasted_tokens', held.request.promptTokens, { cause });
}
