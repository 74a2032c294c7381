/** Writes the answer to one caller: streamed, as one JSON document, or as the back end gave it. */
import type { ServerResponse } from 'node:http';
import { z } from 'zod';
import type { AnswerUsage } from '../entry/entry-events.js';
import type { Refusal } from '../request/refusal.js';
import { httpStatusOf } from '../request/refusal.js';
import type { AnswerStyle } from './caller-request.js';

const deltaSchema = z.looseObject({
  choices: z
    .array(z.looseObject({ delta: z.looseObject({ content: z.string().nullish() }).optional() }))
    .optional(),
});

const MS_PER_SECOND = 1_000;
const HTTP_OK = 200;

/** Headers that tell a caller where its answer came from. */
const ENGINE_TRAILER = 'x-weirvale-engine';

/** The answer to one caller. */
export class CallerSession {
  private status = HTTP_OK;
  private readonly collected: string[] = [];

  constructor(
    private readonly id: string,
    private readonly style: AnswerStyle,
    private readonly model: string,
    private readonly response: ServerResponse,
  ) {}

  /** Begins the answer. */
  start(status: number, contentType: string): void {
    this.status = status;
    const isError = this.isBackendError();
    if (this.style === 'pass-through' || this.style === 'event-stream' || isError) {
      this.response.writeHead(status, {
        'content-type': contentType,
        'x-request-id': this.id,
        trailer: ENGINE_TRAILER,
      });
    }
  }

  /** Writes the next part. */
  write(data: string | Uint8Array): void {
    if (typeof data !== 'string') {
      this.response.write(data);
    } else if (this.style === 'event-stream') {
      this.response.write(`data: ${data}\n\n`);
    } else {
      this.collected.push(data);
    }
  }

  /** Ends a whole answer. */
  end(usage: AnswerUsage): void {
    if (this.style === 'chat-json' && !this.isBackendError()) {
      this.endAsJson(usage);
      return;
    }
    if (this.style === 'event-stream' && !this.isBackendError()) {
      this.response.write('data: [DONE]\n\n');
    }
    this.response.addTrailers({ [ENGINE_TRAILER]: usage.engine });
    this.response.end();
  }

  /** Tells the caller that there is no answer, or no whole one; a cut answer never looks complete. */
  refuse(refusal: Refusal): void {
    const body = JSON.stringify({ error: describeRefusal(this.id, refusal) });
    if (!this.response.headersSent) {
      writeRefusal(this.response, this.id, refusal);
      return;
    }
    if (this.style === 'event-stream') {
      this.response.write(`event: error\ndata: ${body}\n\n`, () => this.response.destroy());
      return;
    }
    this.response.destroy();
  }

  private isBackendError(): boolean {
    return this.style !== 'pass-through' && this.status !== HTTP_OK;
  }

  private endAsJson(usage: AnswerUsage): void {
    const content = this.collected.map(contentOf).join('');
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
      [ENGINE_TRAILER]: usage.engine,
    });
    this.response.end(body);
  }
}

/** Writes a refusal as typed JSON with Retry-After. */
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

function contentOf(data: string): string {
  const parsed = deltaSchema.safeParse(JSON.parse(data));
  return parsed.success ? (parsed.data.choices?.[0]?.delta?.content ?? '') : '';
}
