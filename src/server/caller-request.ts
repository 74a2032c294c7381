/** Parses and validates the HTTP requests of callers. */
import type { IncomingMessage } from 'node:http';
import { z } from 'zod';
import type { IncomingRequest } from '../entry/entry-events.js';
import type { PolicyReplica } from '../policy/replica.js';
import { estimateTokens, hashPromptPrefix, joinMessages } from '../request/prompt.js';
import type { RequestId } from '../request/request-id.js';
import { notExecutedRefusal } from '../request/refusal.js';
import type { Refusal } from '../request/refusal.js';
import type { Labels } from '../request/request.js';
import { HIGHEST_TIER, LOWEST_TIER } from '../request/tier.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';

/** Request headers of the caller-facing HTTP API. */
export const CALLER_HEADERS = {
  tier: 'x-weirvale-tier',
  data: 'x-weirvale-data',
  deadlineMs: 'x-weirvale-deadline-ms',
  repeatable: 'x-weirvale-repeatable',
  idempotencyKey: 'idempotency-key',
} as const;

/** Path of the OpenAI-compatible chat completions endpoint. */
export const CHAT_PATH = '/v1/chat/completions';

const SERVICES_PREFIX = '/services/';
const DEFAULT_MAX_OUTPUT_TOKENS = 256;
const MAX_OUTPUT_TOKENS = 131_072;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

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

/**
 * Format of the response to the caller: server-sent events, one JSON document, or the unmodified
 * response of the backend.
 */
export type ResponseFormat = 'event-stream' | 'chat-json' | 'pass-through';

/** A parsed request and the format of its response. */
export interface CallerRequest {
  readonly incoming: IncomingRequest;
  readonly format: ResponseFormat;
}

/** Default and upper bound of the deadline that a caller may set, in milliseconds. */
export interface DeadlineLimits {
  readonly defaultDeadlineMs: number;
  readonly maxDeadlineMs: number;
}

/**
 * Parses and authenticates a caller's request.
 *
 * @returns the parsed request; an `invalid-request` or `unauthenticated` refusal for an
 *   invalid request, `platform-unavailable` before the first policy is loaded
 */
export function parseCallerRequest(
  request: IncomingMessage,
  body: Buffer,
  id: RequestId,
  replica: PolicyReplica,
  limits: DeadlineLimits,
): Result<CallerRequest, Refusal> {
  if (replica.generation === 0) {
    return err(notExecutedRefusal('platform-unavailable', 'no policy is known here yet', 2_000));
  }
  const tenant = authenticateTenant(request, replica);
  if (tenant === undefined) {
    return err(notExecutedRefusal('unauthenticated', 'the API key is missing or unknown'));
  }
  const headers = parseHeaders(request, limits);
  if (!headers.ok) {
    return err(headers.val);
  }
  const path = request.url ?? '/';
  if (path === CHAT_PATH) {
    return parseChatRequest(request, body, { id, tenant, ...headers.val });
  }
  if (path.startsWith(SERVICES_PREFIX)) {
    return parseServiceRequest(request, body, { id, tenant, ...headers.val });
  }
  return err(notExecutedRefusal('invalid-request', `there is nothing at ${path.slice(0, 100)}`));
}

type CallerHeaders = Pick<
  IncomingRequest,
  'dataLabels' | 'requestedTier' | 'deadlineInMs' | 'isRepeatable' | 'idempotencyKey'
>;

type CommonRequestFields = CallerHeaders & Pick<IncomingRequest, 'id' | 'tenant'>;

function authenticateTenant(request: IncomingMessage, replica: PolicyReplica): string | undefined {
  const match = /^Bearer (.+)$/.exec(request.headers.authorization ?? '');
  return match === null ? undefined : replica.tenants.findTenant(match[1]!);
}

function parseHeaders(
  request: IncomingMessage,
  limits: DeadlineLimits,
): Result<CallerHeaders, Refusal> {
  const tier = parseIntegerHeader(request, CALLER_HEADERS.tier, HIGHEST_TIER, LOWEST_TIER);
  const deadline = parseIntegerHeader(request, CALLER_HEADERS.deadlineMs, 1, limits.maxDeadlineMs);
  const repeatable = firstHeaderValue(request, CALLER_HEADERS.repeatable) ?? 'true';
  const dataLabels = parseLabels(firstHeaderValue(request, CALLER_HEADERS.data) ?? '');
  const idempotencyKey = firstHeaderValue(request, CALLER_HEADERS.idempotencyKey);
  const invalidHeaders = [
    tier === 'fault' ? CALLER_HEADERS.tier : undefined,
    deadline === 'fault' ? CALLER_HEADERS.deadlineMs : undefined,
    ['true', 'false'].includes(repeatable) ? undefined : CALLER_HEADERS.repeatable,
    dataLabels === 'fault' ? CALLER_HEADERS.data : undefined,
    (idempotencyKey?.length ?? 0) > MAX_IDEMPOTENCY_KEY_LENGTH
      ? CALLER_HEADERS.idempotencyKey
      : undefined,
  ].filter((name) => name !== undefined);
  if (
    invalidHeaders.length > 0 ||
    tier === 'fault' ||
    deadline === 'fault' ||
    dataLabels === 'fault'
  ) {
    return err(
      notExecutedRefusal('invalid-request', `unusable header: ${invalidHeaders.join(', ')}`),
    );
  }
  return ok({
    dataLabels,
    requestedTier: tier,
    deadlineInMs: deadline ?? limits.defaultDeadlineMs,
    isRepeatable: repeatable === 'true',
    idempotencyKey,
  });
}

function parseChatRequest(
  request: IncomingMessage,
  body: Buffer,
  common: CommonRequestFields,
): Result<CallerRequest, Refusal> {
  if (request.method !== 'POST') {
    return err(notExecutedRefusal('invalid-request', `${CHAT_PATH} takes POST only`));
  }
  const parsed = chatSchema.safeParse(parseJson(body));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const detail = `the body is no chat request: ${issue?.path.join('.')} ${issue?.message}`;
    return err(notExecutedRefusal('invalid-request', detail));
  }
  const chat = parsed.data;
  const prompt = joinMessages(chat.messages);
  const engineBody = { ...chat, stream: true, stream_options: { include_usage: true } };
  return ok({
    format: chat.stream ? 'event-stream' : 'chat-json',
    incoming: {
      ...common,
      model: chat.model,
      promptTokens: estimateTokens(prompt),
      maxOutputTokens: chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_MAX_OUTPUT_TOKENS,
      prefixHash: hashPromptPrefix(prompt),
      payload: {
        method: 'POST',
        path: CHAT_PATH,
        contentType: 'application/json',
        body: Buffer.from(JSON.stringify(engineBody)).toString('latin1'),
      },
    },
  });
}

function parseServiceRequest(
  request: IncomingMessage,
  body: Buffer,
  common: CommonRequestFields,
): Result<CallerRequest, Refusal> {
  const target = (request.url ?? '').slice(SERVICES_PREFIX.length);
  const slash = target.indexOf('/');
  const service = slash < 0 ? target : target.slice(0, slash);
  return ok({
    format: 'pass-through',
    incoming: {
      ...common,
      model: service,
      promptTokens: 0,
      maxOutputTokens: 0,
      prefixHash: '',
      payload: {
        method: request.method ?? 'GET',
        path: slash < 0 ? '/' : target.slice(slash),
        contentType: request.headers['content-type'] ?? 'application/octet-stream',
        body: body.toString('latin1'),
      },
    },
  });
}

function firstHeaderValue(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function parseIntegerHeader(
  request: IncomingMessage,
  name: string,
  min: number,
  max: number,
): number | undefined | 'fault' {
  const text = firstHeaderValue(request, name);
  if (text === undefined) {
    return undefined;
  }
  const value = Number(text);
  return /^\d+$/.test(text) && value >= min && value <= max ? value : 'fault';
}

/** Parses data labels written as `key=value, key=value`; returns 'fault' for a malformed list. */
export function parseLabels(text: string): Labels | 'fault' {
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
