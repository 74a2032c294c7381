/** A caller that sends requests over one kept connection and reads each response to its end. */
import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { SHORTEST_TIMEOUT_MS, SILENCE_API_KEY, SILENCE_HOST } from './silence-configuration.js';
import { EVENT_TOKENS } from './silent-backend.js';

/** What a caller sends. */
export interface SilenceRequest {
  readonly id: string;
  readonly route: 'stream' | 'safe' | 'unsafe';
  /** Tokens of the prompt; 0 for requests without one. */
  readonly promptTokens: number;
  /** Number of events of a stream. */
  readonly events: number;
}

/** How a request ended, as its caller observed it. */
export type RequestEnding =
  /** A success that holds everything. */
  | 'served'
  /** A refusal as not executed. */
  | 'refused'
  /** Another complete response, such as 502 or 504. */
  | 'failed'
  /** No complete response when the time of the request was over. */
  | 'timed-out'
  /** No response: the host refused the connection. */
  | 'not-accepted'
  /** No response: the connection was closed before. */
  | 'unanswered'
  /** A response that broke off. */
  | 'broken-off';

/** A request and its end. */
export interface ObservedEnding extends SilenceRequest {
  readonly ending: RequestEnding;
  /** HTTP status; 0 if the head of the response did not arrive. */
  readonly status: number;
  /** Time at which it was sent, by `performance.now()`, in milliseconds. */
  readonly sentAtMs: number;
  readonly tookMs: number;
  /** Time from the last byte received to the end, in milliseconds. */
  readonly silentMs: number;
}

const DEADLINE_MS = 6_000;
/** Time after which the caller is certain that no response will come, in milliseconds. */
const PATIENCE_MS = 9_000;
/** Difference between the clocks' readings of a time-out here and at a gateway, in milliseconds. */
const TIMEOUT_TOLERANCE_MS = 50;
const REFUSAL_STATUSES = new Set([429, 503]);

/** Sends requests one after another. */
export class SilenceCaller {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  constructor(
    private readonly host: string,
    private readonly port: number,
  ) {}

  /** Closes its connection. */
  stop(): void {
    this.agent.destroy();
  }

  /** Sends a request; resolves at the end of its response. */
  send(sent: SilenceRequest): Promise<ObservedEnding> {
    const sentAtMs = performance.now();
    let lastByteAtMs = sentAtMs;
    let response: IncomingMessage | undefined;
    let body = '';
    let isRefused = false;
    return new Promise((resolve) => {
      const finish = () => {
        const tookMs = performance.now() - sentAtMs;
        const status = response?.statusCode ?? 0;
        const isComplete = response?.complete === true && isWhole(sent, status, body);
        const silentMs = performance.now() - lastByteAtMs;
        resolve({
          ...sent,
          sentAtMs,
          status,
          tookMs,
          silentMs,
          ending: isRefused ? 'not-accepted' : endingOf(status, isComplete, tookMs),
        });
      };
      const clientRequest = request({
        host: this.host,
        port: this.port,
        agent: this.agent,
        method: 'POST',
        path: `/${sent.route}/${sent.id}`,
        headers: headersOf(sent),
      });
      clientRequest.setTimeout(PATIENCE_MS, () => clientRequest.destroy());
      clientRequest.on('error', (error: NodeJS.ErrnoException) => {
        isRefused = error.code === 'ECONNREFUSED';
        finish();
      });
      clientRequest.on('response', (received) => {
        response = received;
        received.on('data', (bytes: Buffer) => {
          lastByteAtMs = performance.now();
          body += bytes.toString();
        });
        received.on('end', finish);
        received.on('error', finish);
        received.on('close', finish);
      });
      clientRequest.end('body');
    });
  }
}

function headersOf({ id, promptTokens, events }: SilenceRequest): Record<string, string> {
  return {
    Host: SILENCE_HOST,
    Authorization: `Bearer ${SILENCE_API_KEY}`,
    'X-Weirvale-Attempt-Id': id,
    'X-Weirvale-Deadline-Ms': `${DEADLINE_MS}`,
    ...(promptTokens > 0 && {
      'X-Weirvale-Token-Counts': `${promptTokens},${events * EVENT_TOKENS}`,
    }),
  };
}

/** Whether the body of a success holds everything; a stream has no event twice and none missing. */
function isWhole({ route, events }: SilenceRequest, status: number, body: string): boolean {
  if (status !== 200 || route !== 'stream') {
    return status !== 200 || body === 'done';
  }
  const numbers = [...body.matchAll(/id: (\d+)\n/g)].map(([, number]) => Number(number));
  const isInOrder = numbers.every((number, index) => number === index + 1);
  return isInOrder && numbers.length === events;
}

function endingOf(status: number, isComplete: boolean, tookMs: number): RequestEnding {
  if (isComplete && status === 200) {
    return 'served';
  }
  if (isComplete) {
    return REFUSAL_STATUSES.has(status) ? 'refused' : 'failed';
  }
  if (tookMs >= SHORTEST_TIMEOUT_MS - TIMEOUT_TOLERANCE_MS) {
    return 'timed-out';
  }
  return status === 0 ? 'unanswered' : 'broken-off';
}
