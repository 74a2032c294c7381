/**
 * Writes the response to one caller: as server-sent events, as one JSON document, or unmodified
 * from the backend.
 */
import type { ServerResponse } from 'node:http';
import { z } from 'zod';
import type { ResponseUsage } from '../entry/entry-events.js';
import type { Refusal } from '../request/refusal.js';
import { httpStatusOf } from '../request/refusal.js';
import type { ResponseFormat } from './caller-request.js';

const deltaSchema = z.looseObject({
  choices: z
    .array(z.looseObject({ delta: z.looseObject({ content: z.string().nullish() }).optional() }))
    .optional(),
});

const MS_PER_SECOND = 1_000;
const HTTP_OK = 200;

/** Header or trailer that names the engine that produced the response. */
const ENGINE_FIELD = 'x-weirvale-engine';

/** The response to one caller. */
export class CallerResponseWriter {
  private status = HTTP_OK;
  private readonly bufferedChunks: string[] = [];

  constructor(
    private readonly id: string,
    private readonly format: ResponseFormat,
    private readonly model: string,
    private readonly response: ServerResponse,
  ) {}

  /**
   * Sends the response header; a JSON document gets its header when it is complete, unless the
   * backend returned an error.
   */
  start(status: number, contentType: string): void {
    this.status = status;
    const isError = this.isBackendError();
    if (this.format === 'pass-through' || this.format === 'event-stream' || isError) {
      this.response.writeHead(status, {
        'content-type': contentType,
        'x-request-id': this.id,
        trailer: ENGINE_FIELD,
      });
    }
  }

  /** Writes a chunk, or buffers it for a JSON document. */
  write(data: string | Uint8Array): void {
    if (typeof data !== 'string') {
      this.response.write(data);
    } else if (this.format === 'event-stream') {
      this.response.write(`data: ${data}\n\n`);
    } else {
      this.bufferedChunks.push(data);
    }
  }

  /** Completes the response. */
  end(usage: ResponseUsage): void {
    if (this.format === 'chat-json' && !this.isBackendError()) {
      this.endWithJson(usage);
      return;
    }
    if (this.format === 'event-stream' && !this.isBackendError()) {
      this.response.write('data: [DONE]\n\n');
    }
    this.response.addTrailers({ [ENGINE_FIELD]: usage.engine });
    this.response.end();
  }

  /**
   * Ends the response with a refusal. If the header was already sent, the connection is destroyed
   * (after an error event in an event stream), so that the caller cannot mistake a truncated
   * response for a complete one.
   */
  refuse(refusal: Refusal): void {
    const body = JSON.stringify({ error: describeRefusal(this.id, refusal) });
    if (!this.response.headersSent) {
      writeRefusal(this.response, this.id, refusal);
      return;
    }
    if (this.format === 'event-stream') {
      this.response.write(`event: error\ndata: ${body}\n\n`, () => this.response.destroy());
      return;
    }
    this.response.destroy();
  }

  private isBackendError(): boolean {
    return this.format !== 'pass-through' && this.status !== HTTP_OK;
  }

  private endWithJson(usage: ResponseUsage): void {
    const content = this.bufferedChunks.map(deltaContentOf).join('');
    const body = JSON.stringify({
      id: this.id,
      object: 'chat.completion',
      model: this.model,
      choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }],
      usage: {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.outputTokens,
        total_tokens: usage.promptTokens + usage.outputTokens,
        prompt_tokens_details: { cached_tokens: usage.cachedPromptTokens },
      },
    });
    this.response.writeHead(HTTP_OK, {
      'content-type': 'application/json',
      'x-request-id': this.id,
      [ENGINE_FIELD]: usage.engine,
    });
    this.response.end(body);
  }
}

/** Writes a refusal as a JSON error, with a Retry-After header where the refusal sets a delay. */
export function writeRefusal(response: ServerResponse, id: string, refusal: Refusal): void {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-id': id,
  };
  if (refusal.retryAfterMs !== undefined) {
    headers['retry-after'] = `${Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)}`;
  }
  response.writeHead(httpStatusOf(refusal), headers);
  response.end(JSON.stringify({ error: describeRefusal(id, refusal) }));
}

function describeRefusal(id: string, refusal: Refusal): object {
  return {
    type: refusal.reason,
    message: refusal.detail,
    ran: refusal.ran,
    retry_after_ms: refusal.retryAfterMs ?? null,
    request_id: id,
  };
}

function deltaContentOf(data: string): string {
  const parsed = deltaSchema.safeParse(JSON.parse(data));
  return parsed.success ? (parsed.data.choices?.[0]?.delta?.content ?? '') : '';
}
