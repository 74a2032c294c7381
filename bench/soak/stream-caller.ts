/** A caller that reads one stream and resumes it at other gateways when it breaks off. */
import { request as httpRequest } from 'node:http';
import type { ClientRequest } from 'node:http';
import { STREAM_EVENTS } from './stream-backend.js';

/** One request of a caller, as it observed the response. */
export interface StreamAttempt {
  readonly gateway: number;
  readonly isResumption: boolean;
  readonly startedAtMs: number;
  endedAtMs: number;
  /** HTTP status; 0 if the gateway sent no response. */
  status: number;
  /** Number of events received. */
  events: number;
  /** Whether the gateway stated that the request was not executed. */
  isRefused: boolean;
  /** Whether the response ended as complete. */
  isComplete: boolean;
}

/** What a caller holds at the end. */
export interface StreamResult {
  readonly attempts: readonly StreamAttempt[];
  /** Versions of the events that the caller holds, by the request that brought each. */
  readonly versions: ReadonlySet<string>;
  /** Whether one response held events of several versions. */
  readonly isMixedInResponse: boolean;
  /** Whether an event was missing or arrived twice. */
  readonly hasGap: boolean;
  readonly isComplete: boolean;
}

/** Parameters of a caller. */
export interface StreamCallerOptions {
  readonly id: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Address of the gateway for the next request. */
  nextGateway(): { readonly index: number; readonly host: string; readonly port: number };
  /** Number of events after which the caller cuts its first connection; undefined for never. */
  readonly cutAfterEvents: number | undefined;
  /** Whether it names the request that brought the first event when it resumes. */
  readonly namesStream: boolean;
  /** Maximum number of requests that are answered. Default 4. */
  readonly maxAttempts?: number;
}

const DEADLINE_MS = 5_000;
const MAX_ATTEMPTS = 4;
/** Silence after which a caller gives up a response, in milliseconds. */
const PATIENCE_MS = 2_000;
/** Delay before a request after a broken connection, and after a refused one, in milliseconds. */
const RECONNECT_MS = 5;
const REFUSED_MS = 150;
const REFUSED_STATUSES = new Set([429, 503]);
const MS_PER_S = 1_000;

/** Reads one stream to its end or to the caller's deadline. */
export class StreamCaller {
  private readonly attempts: StreamAttempt[] = [];
  private readonly versions = new Set<string>();
  private isMixedInResponse = false;
  private hasGap = false;
  private isComplete = false;
  private lastEventId = 0;
  private firstRequestId: string | undefined;

  constructor(private readonly options: StreamCallerOptions) {}

  async run(): Promise<StreamResult> {
    const deadlineAtMs = performance.now() + DEADLINE_MS;
    const { maxAttempts = MAX_ATTEMPTS } = this.options;
    while (!this.isComplete && this.answeredAttempts < maxAttempts) {
      const leftMs = deadlineAtMs - performance.now();
      if (leftMs <= 0) {
        break;
      }
      const retryAfterMs = await this.send(Math.floor(leftMs));
      this.attempts.at(-1)!.endedAtMs = performance.now();
      await new Promise((resolve) => setTimeout(resolve, Math.min(retryAfterMs, leftMs / 3)));
    }
    const { attempts, versions, isMixedInResponse, hasGap, isComplete } = this;
    return { attempts, versions, isMixedInResponse, hasGap, isComplete };
  }

  private get answeredAttempts(): number {
    return this.attempts.filter(({ status }) => status > 0).length;
  }

  /** Sends one request; resolves to the delay before the next one, in milliseconds. */
  private send(leftMs: number): Promise<number> {
    const number = this.attempts.length;
    const requestId = `${this.options.id}-${number}`;
    const isResumption = this.lastEventId > 0;
    const { index, host, port } = this.options.nextGateway();
    const attempt = {
      gateway: index,
      isResumption,
      startedAtMs: performance.now(),
      endedAtMs: Infinity,
      status: 0,
      events: 0,
      isRefused: false,
      isComplete: false,
    };
    this.attempts.push(attempt);
    const resumption = {
      ...(isResumption ? { 'Last-Event-Id': `${this.lastEventId}` } : {}),
      ...(isResumption && this.options.namesStream ? { Resumes: this.firstRequestId! } : {}),
    };
    return new Promise((resolve) => {
      const clientRequest = httpRequest(
        {
          host,
          port,
          agent: false,
          path: this.options.path,
          headers: {
            ...this.options.headers,
            'X-Weirvale-Attempt-Id': requestId,
            'X-Weirvale-Deadline-Ms': `${leftMs}`,
            ...resumption,
          },
        },
        (response) => {
          attempt.status = response.statusCode ?? 0;
          attempt.isRefused = REFUSED_STATUSES.has(attempt.status);
          let text = '';
          const versionsHere = new Set<string>();
          response.on('data', (bytes: Buffer) => {
            text += attempt.status === 200 ? bytes.toString() : '';
            text = this.readEvents(text, requestId, attempt, versionsHere, clientRequest);
          });
          const retryAfterMs = Number(response.headers['retry-after'] ?? 0) * MS_PER_S;
          response.on('end', () => {
            attempt.isComplete = attempt.status === 200 && response.complete;
            this.isComplete = attempt.isComplete;
            this.hasGap ||= this.isComplete && this.lastEventId !== STREAM_EVENTS;
            resolve(retryAfterMs);
          });
          response.on('error', () => resolve(RECONNECT_MS));
          response.on('close', () => resolve(retryAfterMs));
        },
      );
      clientRequest.setTimeout(PATIENCE_MS, () => clientRequest.destroy());
      // A gateway that was killed is back, or out of the rotation, soon after.
      clientRequest.on('error', () => resolve(attempt.status > 0 ? RECONNECT_MS : REFUSED_MS));
      clientRequest.on('close', () => resolve(RECONNECT_MS));
      clientRequest.end();
    });
  }

  /** Reads the complete events of `text`; returns the rest. */
  private readEvents(
    text: string,
    requestId: string,
    attempt: StreamAttempt,
    versionsHere: Set<string>,
    clientRequest: ClientRequest,
  ): string {
    const parts = text.split('\n\n');
    for (const part of parts.slice(0, -1)) {
      const [, id, version] = /^id: (\d+)\ndata: (.+)$/.exec(part)!;
      this.hasGap ||= Number(id) !== this.lastEventId + 1;
      this.lastEventId = Number(id);
      this.firstRequestId ??= requestId;
      this.versions.add(version!);
      versionsHere.add(version!);
      attempt.events += 1;
    }
    this.isMixedInResponse ||= versionsHere.size > 1;
    const { cutAfterEvents } = this.options;
    if (!attempt.isResumption && attempt.events >= (cutAfterEvents ?? Infinity)) {
      clientRequest.destroy();
    }
    return parts.at(-1)!;
  }
}
