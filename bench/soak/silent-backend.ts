/** A sound backend, plain or a model engine, that falls silent for a while and then goes on. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

/** What a backend serves: whole responses, or streams whose prompts take time to process. */
export type SilentBackendKind = 'plain' | 'engine';

/** Number of output tokens in an event of a stream. */
export const EVENT_TOKENS = 3;
/** Time between two events of a stream, in milliseconds. */
export const EVENT_INTERVAL_MS = 60;
/** Time in which an engine processes one token of a prompt, in milliseconds. */
const PROMPT_MS_PER_TOKEN = 0.1;
/** Time that a plain backend works on a request, in milliseconds. */
const WORK_MS = 40;
const KEEP_ALIVE_MS = 10_000;

/** A backend. While it is silent it sends nothing; it loses nothing that it has received. */
export class SilentBackend {
  /** Number of times that each request ran here, by its id. */
  readonly runs = new Map<string, number>();
  private readonly server: Server;
  /** Start time, in Unix milliseconds. */
  readonly bornAtMs = Date.now();
  private silentUntilMs = 0;
  private runningCount = 0;
  /** Ends when all prompts received so far are processed. */
  private prompts = Promise.resolve();

  /** @param onRun - called with the id of each request that it executes */
  constructor(
    readonly id: string,
    readonly kind: SilentBackendKind,
    private readonly onRun: (requestId: string) => void = () => undefined,
  ) {
    this.server = createServer((request, response) => {
      request.resume();
      request.on('end', () => void this.handleRequest(request, response));
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  /** Starts to listen; resolves once the port is bound. */
  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(port, host, resolve));
  }

  /** Sends nothing for `durationMs`. */
  fallSilent(durationMs: number): void {
    this.silentUntilMs = performance.now() + durationMs;
  }

  /** Whether it has requests that it has not completed. */
  get isBusy(): boolean {
    return this.runningCount > 0;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/-/report') {
      await this.untilAudible();
      const report = { waiting: 0, running: this.runningCount, born: this.bornAtMs };
      response.end(JSON.stringify(report));
      return;
    }
    const requestId = String(request.headers['x-weirvale-attempt-id']);
    response.setHeader('X-Weirvale-Attempt-Id', requestId);
    if (request.headers['x-weirvale-expect-instance'] !== this.id) {
      await this.untilAudible();
      response.writeHead(421).end();
      return;
    }
    this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    this.onRun(requestId);
    this.runningCount += 1;
    response.on('close', () => (this.runningCount -= 1));
    await (this.kind === 'plain' ? this.work(response) : this.stream(request, response));
  }

  private async work(response: ServerResponse): Promise<void> {
    await delay(WORK_MS);
    await this.untilAudible();
    response.end('done');
  }

  private async stream(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const counts = String(request.headers['x-weirvale-token-counts']).split(',');
    const [promptTokens, outputTokens] = counts.map(Number);
    const events = outputTokens! / EVENT_TOKENS;
    const promptMs = promptTokens! * PROMPT_MS_PER_TOKEN;
    this.prompts = this.prompts.then(() => (response.destroyed ? undefined : delay(promptMs)));
    await this.prompts;
    await this.untilAudible();
    response.writeHead(200, { 'Content-Type': 'text/event-stream' });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let number = first; number <= events && !response.destroyed; number += 1) {
      response.write(`id: ${number}\ndata: e\n\n`);
      await delay(EVENT_INTERVAL_MS);
      await this.untilAudible();
    }
    response.end();
  }

  private async untilAudible(): Promise<void> {
    while (performance.now() < this.silentUntilMs) {
      await delay(this.silentUntilMs - performance.now());
    }
  }
}
