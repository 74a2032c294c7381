/** Commands that deliver a response to its caller, complete and in order. */
import type {
  AnswerChunkMessage,
  AnswerEndMessage,
  AnswerFailedMessage,
} from '../../protocol/messages.js';
import { possiblyExecutedRefusal } from '../../request/refusal.js';
import type { RequestId } from '../../request/request-id.js';
import type { EntryEventContext, ActiveRequest } from '../entry-state.js';
import { removeRequest, refuseRequest } from './request-lifecycle.js';

/** Starts the response, unless it was started before a reconnect. */
export function startResponse(
  context: EntryEventContext,
  request: ActiveRequest,
  status: number,
  contentType: string,
): void {
  if (request.hasStartedResponse) {
    return;
  }
  request.hasStartedResponse = true;
  context.emit({ kind: 'answer-start', id: request.description.id, status, contentType });
}

/** Delivers the next chunk, drops duplicates, and requests missing chunks. */
export function deliverChunk(
  context: EntryEventContext,
  agent: string,
  request: ActiveRequest,
  chunk: AnswerChunkMessage,
): void {
  if (chunk.index < request.nextChunkIndex) {
    return;
  }
  if (chunk.index > request.nextChunkIndex || !request.hasStartedResponse) {
    requestMissingChunks(context, agent, request);
    return;
  }
  if (request.nextChunkIndex === 0) {
    const tags = { tier: `${request.description.tier}` };
    context.timing('request.first_chunk', context.nowMs - request.arrivedAtMs, tags);
  }
  request.nextChunkIndex += 1;
  context.emit({ kind: 'answer-chunk', id: request.description.id, data: chunk.data });
}

/** Ends the response if every chunk was delivered; otherwise requests the missing ones. */
export function endResponse(
  context: EntryEventContext,
  agent: string,
  request: ActiveRequest,
  end: AnswerEndMessage,
): void {
  if (end.chunkCount !== request.nextChunkIndex || !request.hasStartedResponse) {
    requestMissingChunks(context, agent, request);
    return;
  }
  const { description } = request;
  context.state.speedEstimates.addSample(agent, description, end);
  removeRequest(context, request);
  context.send(agent, { kind: 'acknowledge', id: description.id });
  context.emit({
    kind: 'answer-end',
    id: description.id,
    usage: {
      engine: agent,
      promptTokens: end.promptTokens,
      cachedPromptTokens: end.cachedPromptTokens,
      outputTokens: end.outputTokens,
    },
  });
  recordResponseMetrics(context, request);
}

/** Reports to the caller that the response failed and the request may have run. */
export function failResponse(
  context: EntryEventContext,
  agent: string,
  request: ActiveRequest,
  failed: AnswerFailedMessage,
): void {
  context.send(agent, { kind: 'acknowledge', id: request.description.id });
  const { retryAfterMs } = context.state.options;
  refuseRequest(
    context,
    request,
    possiblyExecutedRefusal(failed.reason, failed.detail, retryAfterMs),
  );
}

/** Drops a request whose caller disconnected: cancels it on its agent, or releases its claim. */
export function abandonRequest(context: EntryEventContext, id: RequestId): void {
  const request = context.state.requests.get(id);
  if (request === undefined) {
    return;
  }
  const { tenant, idempotencyKey } = request.description;
  if (request.binding !== undefined) {
    context.send(request.binding.agent, { kind: 'cancel', id });
  } else if (request.hasClaim && idempotencyKey !== undefined) {
    context.emit({ kind: 'release-claim', id, tenant, key: idempotencyKey });
  }
  removeRequest(context, request);
  context.count('request.abandoned');
}

function requestMissingChunks(
  context: EntryEventContext,
  agent: string,
  request: ActiveRequest,
): void {
  const { id } = request.description;
  context.send(agent, { kind: 'resume-answer', id, fromChunk: request.nextChunkIndex });
  context.count('answer.resumed');
}

function recordResponseMetrics(context: EntryEventContext, request: ActiveRequest): void {
  const { tier, deadlineAtMs } = request.description;
  const isInTime = context.nowMs <= deadlineAtMs;
  context.count('request.answered', 1, { tier: `${tier}`, in_time: `${isInTime}` });
  context.timing('request.duration', context.nowMs - request.arrivedAtMs, {
    tier: `${tier}`,
  });
}
