/**
 * HTTP client for an agent's backend: a model engine that streams its responses, or a plain
 * service.
 */
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type { EngineEvent, EngineUsage } from '../agent/agent-events.js';
import type { Clock } from '../clock.js';
import type { BindMessage } from '../protocol/messages.js';

/** Error codes that prove that the backend received nothing of the request. */
const NOT_STARTED_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

const STREAM_DONE = '[DONE]';
const MIN_HTTP_ERROR_STATUS = 400;

const usageSchema = z.object({
  usage: z.object({
    prompt_tokens: z.number(),
    completion_tokens: z.number(),
    prompt_tokens_details: z.object({ cached_tokens: z.number() }).optional(),
  }),
});

/** HTTP client for an agent's backend. */
export class HttpBackend {
  private readonly dispatcher = new Agent({ connections: 256, pipelining: 1 });
  private readonly running = new Map<string, AbortController>();

  constructor(
    private readonly baseUrl: string,
    private readonly kind: 'engine' | 'service',
    private readonly clock: Clock,
    private readonly onEvent: (event: EngineEvent) => void,
  ) {}

  /** Sends a request to the backend; its progress and outcome are reported as events. */
  start(bind: BindMessage): void {
    const abort = new AbortController();
    this.running.set(bind.id, abort);
    void this.run(bind, abort).finally(() => this.running.delete(bind.id));
  }

  /** Pauses a running request; without effect on a plain service. */
  pause(id: string): void {
    void this.sendControlRequest(id, 'pause');
  }

  /** Resumes a paused request; without effect on a plain service. */
  resume(id: string): void {
    void this.sendControlRequest(id, 'resume');
  }

  /** Aborts the HTTP request, and cancels it at a model engine. */
  cancel(id: string): void {
    this.running.get(id)?.abort();
    void this.sendControlRequest(id, 'cancel');
  }

  /** Closes all connections to the backend. */
  close(): void {
    void this.dispatcher.destroy();
  }

  private async run(bind: BindMessage, abort: AbortController): Promise<void> {
    const { id } = bind;
    let hasResponse = false;
    try {
      const response = await this.send(bind, abort.signal);
      hasResponse = true;
      if (this.kind === 'engine' && response.statusCode < MIN_HTTP_ERROR_STATUS) {
        await this.readStream(id, response);
      } else {
        await this.readBody(id, response);
      }
    } catch (cause) {
      if (!abort.signal.aborted) {
        const code = (cause as { code?: string }).code ?? '';
        const isNotStarted = !hasResponse && NOT_STARTED_CODES.has(code);
        this.onEvent({ kind: 'engine-failed', id, isNotStarted, detail: String(cause) });
      }
    }
  }

  private send(bind: BindMessage, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const { method, path, contentType, body } = bind.payload;
    const hasBody = method !== 'GET' && method !== 'HEAD';
    return request(this.baseUrl + path, {
      dispatcher: this.dispatcher,
      method: method as Dispatcher.HttpMethod,
      headers: {
        'content-type': contentType,
        'x-request-id': bind.id,
        'x-request-priority': `${bind.tier}`,
        ...(bind.idempotencyKey === undefined ? {} : { 'idempotency-key': bind.idempotencyKey }),
      },
      body: hasBody ? Buffer.from(body, 'latin1') : undefined,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  private async readStream(id: string, response: Dispatcher.ResponseData): Promise<void> {
    const reader = new EngineStreamReader(id, this.clock, this.onEvent);
    this.onEvent({
      kind: 'engine-started',
      id,
      status: response.statusCode,
      contentType: 'text/event-stream',
    });
    const decoder = new TextDecoder();
    for await (const bytes of response.body) {
      reader.push(decoder.decode(bytes as Buffer, { stream: true }));
    }
    reader.end();
  }

  private async readBody(id: string, response: Dispatcher.ResponseData): Promise<void> {
    const startedAtMs = this.clock.now();
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream');
    this.onEvent({ kind: 'engine-started', id, status: response.statusCode, contentType });
    for await (const bytes of response.body) {
      this.onEvent({ kind: 'engine-chunk', id, data: new Uint8Array(bytes as Buffer) });
    }
    const usage: EngineUsage = {
      promptTokens: 0,
      cachedPromptTokens: 0,
      outputTokens: 0,
      prefillMs: 0,
      decodeMs: this.clock.now() - startedAtMs,
    };
    this.onEvent({ kind: 'engine-ended', id, usage });
  }

  private async sendControlRequest(
    id: string,
    action: 'pause' | 'resume' | 'cancel',
  ): Promise<void> {
    if (this.kind !== 'engine') {
      return;
    }
    try {
      const url = `${this.baseUrl}/v1/requests/${encodeURIComponent(id)}/${action}`;
      const response = await request(url, { dispatcher: this.dispatcher, method: 'POST' });
      await response.body.dump();
    } catch {
      // If the engine is unreachable, the failure of the request's stream reports it.
    }
  }
}

/** Converts the server-sent events of one engine stream to engine events. */
class EngineStreamReader {
  private readonly startedAtMs: number;
  private firstChunkAtMs: number | undefined;
  private usage: z.infer<typeof usageSchema>['usage'] | undefined;
  private isDone = false;
  private readonly parser;

  constructor(
    private readonly id: string,
    private readonly clock: Clock,
    private readonly onEvent: (event: EngineEvent) => void,
  ) {
    this.startedAtMs = clock.now();
    this.parser = createParser({ onEvent: (event) => this.handleEvent(event.data) });
  }

  push(text: string): void {
    this.parser.feed(text);
  }

  end(): void {
    if (!this.isDone) {
      const detail = 'the engine closed the stream before its end';
      this.onEvent({ kind: 'engine-failed', id: this.id, isNotStarted: false, detail });
      return;
    }
    this.onEvent({ kind: 'engine-ended', id: this.id, usage: this.describeUsage() });
  }

  private handleEvent(data: string): void {
    if (data === STREAM_DONE) {
      this.isDone = true;
      return;
    }
    this.firstChunkAtMs ??= this.clock.now();
    const usage = data.includes('"usage"') ? usageSchema.safeParse(JSON.parse(data)) : undefined;
    if (usage?.success) {
      this.usage = usage.data.usage;
    }
    this.onEvent({ kind: 'engine-chunk', id: this.id, data });
  }

  private describeUsage(): EngineUsage {
    const firstChunkAtMs = this.firstChunkAtMs ?? this.clock.now();
    return {
      promptTokens: this.usage?.prompt_tokens ?? 0,
      cachedPromptTokens: this.usage?.prompt_tokens_details?.cached_tokens ?? 0,
      outputTokens: this.usage?.completion_tokens ?? 0,
      prefillMs: firstChunkAtMs - this.startedAtMs,
      decodeMs: this.clock.now() - firstChunkAtMs,
    };
  }
}
