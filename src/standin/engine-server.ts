/** Fake model engine: OpenAI-compatible streaming, pause, resume, cancel, delayed load report. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { z } from 'zod';
import { SYSTEM_CLOCK } from '../clock.js';
import { estimateTokens, hashPromptPrefix, joinMessages } from '../request/prompt.js';
import { EngineModel } from './engine-model.js';
import type { EngineJobUsage, EngineModelOptions } from './engine-model.js';
import { readText, writeJson } from './http-json.js';

const chatSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  max_tokens: z.number().default(256),
});

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const CONTROL_PATH = /^\/v1\/requests\/([^/]+)\/(pause|resume|cancel)$/;

/** A request that the engine received, recorded for checks. */
export interface ReceivedRequest {
  readonly id: string;
  readonly atMs: number;
}

/** Creates the HTTP server of a fake engine. */
export function createEngineServer(options: EngineModelOptions): Server {
  const model = new EngineModel(SYSTEM_CLOCK, options);
  const received: ReceivedRequest[] = [];
  return createServer((request, response) => {
    void route(model, received, request, response);
  });
}

async function route(
  model: EngineModel,
  received: ReceivedRequest[],
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readText(request);
  const control = CONTROL_PATH.exec(request.url ?? '');
  if (control !== null) {
    const action = control[2] as 'pause' | 'resume' | 'cancel';
    model[action](decodeURIComponent(control[1]!));
    writeJson(response, HTTP_OK, {});
  } else if (request.url === '/v1/chat/completions') {
    const id = String(request.headers['x-request-id']);
    received.push({ id, atMs: SYSTEM_CLOCK.now() });
    const priority = Number(request.headers['x-request-priority'] ?? '1');
    streamResponse(model, id, priority, body, response);
  } else if (request.url === '/load') {
    writeJson(response, HTTP_OK, { running: model.reportLoad() });
  } else if (request.url === '/handed') {
    writeJson(response, HTTP_OK, {
      handed: received,
      wastedPrefillTokens: model.wastedPrefillTokens,
      prefilledTokens: model.prefilledTokens,
    });
  } else {
    writeJson(response, HTTP_BAD_REQUEST, { error: 'unknown path' });
  }
}

function streamResponse(
  model: EngineModel,
  id: string,
  priority: number,
  body: string,
  response: ServerResponse,
): void {
  const parsed = chatSchema.safeParse(JSON.parse(body));
  if (!parsed.success) {
    writeJson(response, HTTP_BAD_REQUEST, { error: parsed.error.issues[0]?.message });
    return;
  }
  const chat = parsed.data;
  const prompt = joinMessages(chat.messages);
  response.writeHead(HTTP_OK, { 'content-type': 'text/event-stream' });
  response.flushHeaders();
  response.on('close', () => model.cancel(id));
  const job = {
    id,
    prompt,
    promptTokens: estimateTokens(prompt),
    maxOutputTokens: chat.max_tokens,
    prefixHash: hashPromptPrefix(prompt),
    priority,
  };
  model.submit(job, {
    onTokens: (text) => writeEvent(response, { choices: [{ index: 0, delta: { content: text } }] }),
    onEnd: (usage) => {
      writeEvent(response, { choices: [], usage: describeUsage(usage) });
      response.write('data: [DONE]\n\n');
      response.end();
    },
    onFailed: (detail) => {
      response.write(`data: ${JSON.stringify({ error: detail })}\n\n`);
      response.destroy();
    },
  });
}

function writeEvent(response: ServerResponse, event: object): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`);
}

function describeUsage(usage: EngineJobUsage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedPromptTokens },
  };
}
