/** Query: what a caller's HTTP request asks for, or what is wrong with it. */
import type { IncomingMessage } from 'node:http';
import { z } from 'zod';
import type { ArrivedRequest } from '../entry/entry-events.js';
import type { PolicyReplica } from '../policy/replica.js';
import { estimateTokens, prefixHashOf, promptOf } from '../request/prompt.js';
import type { RequestId } from '../request/request-id.js';
import { notRun } from '../request/refusal.js';
import type { Refusal } from '../request/refusal.js';
import type { Labels } from '../request/request.js';
import { HIGHEST_TIER, LOWEST_TIER } from '../request/tier.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';

/** Headers of the callers' interface. */
export const CALLER_HEADERS = {
  tier: 'x-weirvale-tier',
  data: 'x-weirvale-data',
  deadlineMs: 'x-weirvale-deadline-ms',
  repeatable: 'x-weirvale-repeatable',
  idempotencyKey: 'idempotency-key',
} as const;

/** Path of the OpenAI-compatible interface. */
export const CHAT_PATH = '/v1/chat/completions';

const SERVICES_PREFIX = '/services/';
const DEFAULT_MAX_OUTPUT_TOKENS = 256;
const MAX_OUTPUT_TOKENS = 131_072;
const MAX_KEY_LENGTH = 255;

const contentSchema = z.union([
  z.string(),
  z.array(z.object({ type: z.literal('text'), text: z.string() })),
]);

const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string(), content: contentSchema })).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().max(MAX_OUTPUT_TOKENS).optional(),
  max_completion_tokens: z.number().int().positive().max(MAX_OUTPUT_TOKENS).optional(),
});

/** How the answer is written to the caller. */
export type AnswerStyle = 'event-stream' | 'chat-json' | 'pass-through';

/** A request understood, and how its answer is written. */
export interface CallerRequest {
  readonly arrived: ArrivedRequest;
  readonly style: AnswerStyle;
}

/** Limits on what a caller may name. */
export interface CallerLimits {
  readonly defaultDeadlineMs: number;
  readonly maxDeadlineMs: number;
}

/** Reads a caller's request; every fault is an `invalid-request` or `unauthenticated` refusal. */
export function readCallerRequest(
  request: IncomingMessage,
  body: Buffer,
  id: RequestId,
  replica: PolicyReplica,
  limits: CallerLimits,
): Result<CallerRequest, Refusal> {
  if (replica.generation === 0) {
    return err(notRun('platform-unavailable', 'no policy is known here yet', 2_000));
  }
  const tenant = findTenant(request, replica);
  if (tenant === undefined) {
    return err(notRun('unauthenticated', 'the API key is missing or unknown'));
  }
  const headers = readHeaders(request, limits);
  if (!headers.ok) {
    return err(headers.val);
  }
  const path = request.url ?? '/';
  if (path === CHAT_PATH) {
    return readChat(request, body, { id, tenant, ...headers.val });
  }
  if (path.startsWith(SERVICES_PREFIX)) {
    return readServiceCall(request, body, { id, tenant, ...headers.val });
  }
  return err(notRun('invalid-request', `there is nothing at ${path.slice(0, 100)}`));
}

type CallerHeaders = Pick<
  ArrivedRequest,
  'dataLabels' | 'requestedTier' | 'deadlineInMs' | 'isRepeatable' | 'idempotencyKey'
>;

type RequestFrame = CallerHeaders & Pick<ArrivedRequest, 'id' | 'tenant'>;

function findTenant(request: IncomingMessage, replica: PolicyReplica): string | undefined {
  const match = /^Bearer (.+)$/.exec(request.headers.authorization ?? '');
  return match === null ? undefined : replica.tenants.findTenant(match[1]!);
}

function readHeaders(
  request: IncomingMessage,
  limits: CallerLimits,
): Result<CallerHeaders, Refusal> {
  const tier = readInteger(request, CALLER_HEADERS.tier, HIGHEST_TIER, LOWEST_TIER);
  const deadline = readInteger(request, CALLER_HEADERS.deadlineMs, 1, limits.maxDeadlineMs);
  const repeatable = headerOf(request, CALLER_HEADERS.repeatable) ?? 'true';
  const dataLabels = readLabels(headerOf(request, CALLER_HEADERS.data) ?? '');
  const key = headerOf(request, CALLER_HEADERS.idempotencyKey);
  const faults = [
    tier === 'fault' ? CALLER_HEADERS.tier : undefined,
    deadline === 'fault' ? CALLER_HEADERS.deadlineMs : undefined,
    ['true', 'false'].includes(repeatable) ? undefined : CALLER_HEADERS.repeatable,
    dataLabels === 'fault' ? CALLER_HEADERS.data : undefined,
    (key?.length ?? 0) > MAX_KEY_LENGTH ? CALLER_HEADERS.idempotencyKey : undefined,
  ].filter((fault) => fault !== undefined);
  if (faults.length > 0 || tier === 'fault' || deadline === 'fault' || dataLabels === 'fault') {
    return err(notRun('invalid-request', `unusable header: ${faults.join(', ')}`));
  }
  return ok({
    dataLabels,
    requestedTier: tier,
    deadlineInMs: deadline ?? limits.defaultDeadlineMs,
    isRepeatable: repeatable === 'true',
    idempotencyKey: key,
  });
}

function readChat(
  request: IncomingMessage,
  body: Buffer,
  frame: RequestFrame,
): Result<CallerRequest, Refusal> {
  if (request.method !== 'POST') {
    return err(notRun('invalid-request', `${CHAT_PATH} takes POST only`));
  }
  const parsed = chatSchema.safeParse(parseJson(body));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const detail = `the body is no chat request: ${issue?.path.join('.')} ${issue?.message}`;
    return err(notRun('invalid-request', detail));
  }
  const chat = parsed.data;
  const prompt = promptOf(chat.messages);
  const engineBody = { ...chat, stream: true, stream_options: { include_usage: true } };
  return ok({
    style: chat.stream ? 'event-stream' : 'chat-json',
    arrived: {
      ...frame,
      model: chat.model,
      promptTokens: estimateTokens(prompt),
      maxOutputTokens: chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_MAX_OUTPUT_TOKENS,
      prefixHash: prefixHashOf(prompt),
      payload: {
        method: 'POST',
        path: CHAT_PATH,
        contentType: 'application/json',
        body: Buffer.from(JSON.stringify(engineBody)).toString('latin1'),
      },
    },
  });
}

function readServiceCall(
  request: IncomingMessage,
  body: Buffer,
  frame: RequestFrame,
): Result<CallerRequest, Refusal> {
  const rest = (request.url ?? '').slice(SERVICES_PREFIX.length);
  const slash = rest.indexOf('/');
  const name = slash < 0 ? rest : rest.slice(0, slash);
  return ok({
    style: 'pass-through',
    arrived: {
      ...frame,
      model: name,
      promptTokens: 0,
      maxOutputTokens: 0,
      prefixHash: '',
      payload: {
        method: request.method ?? 'GET',
        path: slash < 0 ? '/' : rest.slice(slash),
        contentType: request.headers['content-type'] ?? 'application/octet-stream',
        body: body.toString('latin1'),
      },
    },
  });
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function readInteger(
  request: IncomingMessage,
  name: string,
  low: number,
  high: number,
): number | undefined | 'fault' {
  const text = headerOf(request, name);
  if (text === undefined) {
    return undefined;
  }
  const value = Number(text);
  return /^\d+$/.test(text) && value >= low && value <= high ? value : 'fault';
}

/** Reads `key=value, key=value`. */
export function readLabels(text: string): Labels | 'fault' {
  const labels: Record<string, string> = {};
  for (const part of text.split(',')) {
    if (part.trim() === '') {
      continue;
    }
    const match = /^\s*([a-z0-9][a-z0-9-]*)=([^=\s]+)\s*$/.exec(part);
    if (match === null) {
      return 'fault';
    }
    labels[match[1]!] = match[2]!;
  }
  return labels;
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
