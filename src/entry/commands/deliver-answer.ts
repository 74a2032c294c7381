/** Commands: hand an answer to its caller, whole and in order. */
import type {
  AnswerChunkMessage,
  AnswerEndMessage,
  AnswerFailedMessage,
} from '../../protocol/messages.js';
import { mayHaveRun } from '../../request/refusal.js';
import type { RequestId } from '../../request/request-id.js';
import type { EntryTurn, HeldRequest } from '../entry-state.js';
import { forgetRequest, refuseRequest } from './finish-request.js';

/** Begins the answer, unless it was begun before a reconnect. */
export function startAnswer(
  turn: EntryTurn,
  held: HeldRequest,
  status: number,
  contentType: string,
): void {
  if (held.hasStartedAnswer) {
    return;
  }
  held.hasStartedAnswer = true;
  turn.emit({ kind: 'answer-start', id: held.description.id, status, contentType });
}

/** Hands on the next chunk; drops one that was handed on before; asks for what is missing. */
export function deliverChunk(
  turn: EntryTurn,
  agent: string,
  held: HeldRequest,
  chunk: AnswerChunkMessage,
): void {
  if (chunk.index < held.nextChunk) {
    return;
  }
  if (chunk.index > held.nextChunk || !held.hasStartedAnswer) {
    requestMissing(turn, agent, held);
    return;
  }
  if (held.nextChunk === 0) {
    const tags = { tier: `${held.description.tier}` };
    turn.timing('request.first_chunk', turn.nowMs - held.arrivedAtMs, tags);
  }
  held.nextChunk += 1;
  turn.emit({ kind: 'answer-chunk', id: held.description.id, data: chunk.data });
}

/** Ends the answer if every chunk was handed on; otherwise asks for the missing ones. */
export function endAnswer(
  turn: EntryTurn,
  agent: string,
  held: HeldRequest,
  end: AnswerEndMessage,
): void {
  if (end.chunkCount !== held.nextChunk || !held.hasStartedAnswer) {
    requestMissing(turn, agent, held);
    return;
  }
  const { description } = held;
  turn.state.speeds.learn(agent, description, end);
  forgetRequest(turn, held);
  turn.send(agent, { kind: 'acknowledge', id: description.id });
  turn.emit({
    kind: 'answer-end',
    id: description.id,
    usage: {
      engine: agent,
      promptTokens: end.promptTokens,
      cachedPromptTokens: end.cachedPromptTokens,
      outputTokens: end.outputTokens,
    },
  });
  countAnswer(turn, held);
}

/** Tells the caller that there will be no whole answer. */
export function failAnswer(
  turn: EntryTurn,
  agent: string,
  held: HeldRequest,
  failed: AnswerFailedMessage,
): void {
  turn.send(agent, { kind: 'acknowledge', id: held.description.id });
  const { retryAfterMs } = turn.state.options;
  refuseRequest(turn, held, mayHaveRun(failed.reason, failed.detail, retryAfterMs));
}

/** The caller hung up: nothing more is done for the request. */
export function abandonRequest(turn: EntryTurn, id: RequestId): void {
  const held = turn.state.requests.get(id);
  if (held === undefined) {
    return;
  }
  const { tenant, idempotencyKey } = held.description;
  if (held.binding !== undefined) {
    turn.send(held.binding.agent, { kind: 'cancel', id });
  } else if (held.hasClaim && idempotencyKey !== undefined) {
    turn.emit({ kind: 'release-claim', id, tenant, key: idempotencyKey });
  }
  forgetRequest(turn, held);
  turn.count('request.abandoned');
}

function requestMissing(turn: EntryTurn, agent: string, held: HeldRequest): void {
  const { id } = held.description;
  turn.send(agent, { kind: 'resume-answer', id, fromChunk: held.nextChunk });
  turn.count('answer.resumed');
}

function countAnswer(turn: EntryTurn, held: HeldRequest): void {
  const { tier, deadlineAtMs } = held.description;
  const isInTime = turn.nowMs <= deadlineAtMs;
  turn.count('request.answered', 1, { tier: `${tier}`, in_time: `${isInTime}` });
  turn.timing('request.duration', turn.nowMs - held.arrivedAtMs, { tier: `${tier}` });
}
