/**
 * Commands that relay the engine's response to the entry, retain it until it is acknowledged, and
 * resend it after a reconnect.
 */
import type { AnswerFailedMessage, Message } from '../../protocol/messages.js';
import type { EngineEvent } from '../agent-events.js';
import type { AgentEventContext, EngineRequest } from '../agent-state.js';
import { issuePermit } from './issue-permits.js';
import { refuseBind } from './refuse-bind.js';

/** Handles a progress event of a request on the engine. */
export function handleEngineEvent(context: AgentEventContext, event: EngineEvent): void {
  const engineRequest = context.state.engineRequests.get(event.id);
  if (engineRequest === undefined || engineRequest.phase === 'finished') {
    return;
  }
  const { id } = event;
  switch (event.kind) {
    case 'engine-started':
      relayMessage(context, engineRequest, {
        kind: 'answer-start',
        id,
        status: event.status,
        contentType: event.contentType,
      });
      break;
    case 'engine-chunk':
      relayMessage(context, engineRequest, {
        kind: 'answer-chunk',
        id,
        index: engineRequest.chunkCount,
        data: event.data,
      });
      engineRequest.chunkCount += 1;
      break;
    case 'engine-ended':
      markFinished(context, engineRequest);
      relayMessage(context, engineRequest, {
        kind: 'answer-end',
        id,
        chunkCount: engineRequest.chunkCount,
        ...event.usage,
      });
      issuePermit(context, engineRequest.peer);
      break;
    case 'engine-failed':
      handleEngineFailure(context, engineRequest, event.isNotStarted, event.detail);
      break;
  }
}

/** Ends a request whose response is incomplete, and reports the failure to its entry. */
export function failRequest(
  context: AgentEventContext,
  engineRequest: EngineRequest,
  reason: AnswerFailedMessage['reason'],
  detail: string,
): void {
  markFinished(context, engineRequest);
  countWastedPrefill(context, engineRequest, reason);
  relayMessage(context, engineRequest, {
    kind: 'answer-failed',
    id: engineRequest.request.id,
    reason,
    detail,
  });
}

/**
 * Resends a response from `fromChunk` on; for a request that is no longer stored, reports whether
 * it was certainly never started.
 */
export function resumeResponse(
  context: AgentEventContext,
  peer: string,
  id: string,
  fromChunk: number,
): void {
  const engineRequest = context.state.engineRequests.get(id);
  if (engineRequest !== undefined) {
    engineRequest.orphanedAtMs = undefined;
    for (const message of engineRequest.responseMessages) {
      if (message.kind !== 'answer-chunk' || message.index >= fromChunk) {
        context.send(peer, message);
      }
    }
    return;
  }
  if (context.state.pendingBinds.has(id)) {
    return;
  }
  if (context.state.records.statusOf(id) === 'unknown') {
    const detail = 'the agent keeps no record of the request any more';
    context.send(peer, { kind: 'answer-failed', id, reason: 'engine-lost', detail });
    return;
  }
  refuseBind(context, peer, id, 'never-received');
}

/** Removes a finished request after the entry has acknowledged its response. */
export function acknowledgeResponse(context: AgentEventContext, id: string): void {
  const engineRequest = context.state.engineRequests.get(id);
  if (engineRequest?.phase === 'finished') {
    removeRequest(context, engineRequest);
  }
}

/**
 * Cancels a request whose response is no longer needed, and prevents a late bind from starting it.
 */
export function cancelRequest(context: AgentEventContext, id: string, reason: string): void {
  context.state.pendingBinds.delete(id);
  const engineRequest = context.state.engineRequests.get(id);
  if (engineRequest === undefined) {
    context.state.records.recordRefusal(id, context.nowMs);
    return;
  }
  if (engineRequest.phase !== 'finished') {
    context.emit({ kind: 'engine-cancel', id });
    context.logDecision('cancel', engineRequest.request, reason);
    countWastedPrefill(context, engineRequest, reason);
  }
  removeRequest(context, engineRequest);
}

/**
 * Drops finished responses that were not acknowledged within the retention time, and cancels
 * requests whose entry has been disconnected longer than the orphan timeout.
 */
export function expireResponses(context: AgentEventContext): void {
  const { options } = context.state;
  for (const engineRequest of [...context.state.engineRequests.values()]) {
    const finishedAtMs = engineRequest.finishedAtMs ?? context.nowMs;
    const orphanedAtMs = engineRequest.orphanedAtMs ?? context.nowMs;
    if (context.nowMs - finishedAtMs >= options.answerRetentionMs) {
      removeRequest(context, engineRequest);
    } else if (context.nowMs - orphanedAtMs >= options.orphanTimeoutMs) {
      cancelRequest(context, engineRequest.request.id, 'entry-lost');
    }
  }
  context.state.records.expireRefusals(context.nowMs - options.answerRetentionMs);
}

function handleEngineFailure(
  context: AgentEventContext,
  engineRequest: EngineRequest,
  isNotStarted: boolean,
  detail: string,
): void {
  if (!isNotStarted) {
    failRequest(context, engineRequest, 'engine-failed', detail);
    return;
  }
  context.state.engineRequests.delete(engineRequest.request.id);
  refuseBind(context, engineRequest.peer, engineRequest.request.id, 'engine-unreachable');
}

function relayMessage(
  context: AgentEventContext,
  engineRequest: EngineRequest,
  message: Message,
): void {
  engineRequest.responseMessages.push(message);
  context.send(engineRequest.peer, message);
}

function markFinished(context: AgentEventContext, engineRequest: EngineRequest): void {
  engineRequest.phase = 'finished';
  engineRequest.finishedAtMs = context.nowMs;
}

function removeRequest(context: AgentEventContext, engineRequest: EngineRequest): void {
  const { id } = engineRequest.request;
  context.state.engineRequests.delete(id);
  context.state.records.markDropped(id);
}

function countWastedPrefill(
  context: AgentEventContext,
  engineRequest: EngineRequest,
  cause: string,
): void {
  context.count('prefill.wasted_tokens', engineRequest.request.promptTokens, { cause });
}
