import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { AfterPollQueue } from '../../src/after-poll-queue.js';
import { SYSTEM_CLOCK, sleep } from '../../src/clock.js';
import { CallerListener } from '../../src/gateway/admission/caller-listener.js';
import type { ReceivedHead } from '../../src/gateway/admission/caller-listener.js';
import type { CallerReply } from '../../src/gateway/attempt/attempt.js';
import { DEFAULT_CALLER_LIMITS } from '../../src/routing/configuration.js';

/** A whole request. */
export const RAW_REQUEST = 'GET /a HTTP/1.1\r\nHost: a\r\n\r\n';
/** Time in which a request on a test listener is answered, in milliseconds. */
export const ANSWER_WITHIN_MS = 300;

/** Limits that differ from the defaults. */
export interface CallerLimitOverrides {
  readonly idleTimeoutMs?: number;
  readonly headerTimeoutMs?: number;
}

/** Starts a listener that answers with `respond`. */
export async function startCallerListener(
  limits: CallerLimitOverrides,
  respond: (reply: CallerReply, head: ReceivedHead) => void = respondOk,
) {
  const listener = new CallerListener(
    (head, reply) => ({
      onBody: () => respond(reply, head),
      onTooLong: () => undefined,
      onMemoryExhausted: () => undefined,
      onCallerDisconnected: () => undefined,
    }),
    () => 1_000_000,
    new AfterPollQueue(SYSTEM_CLOCK),
  );
  listener.applyLimits({ ...DEFAULT_CALLER_LIMITS, ...limits });
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const { port } = listener.server.address() as AddressInfo;
  return { listener, connectCaller: () => RawCaller.connect(port) };
}

/** Sends an empty response. */
export function respondOk(reply: CallerReply): void {
  reply.start(200, ['Content-Length', '0']);
  reply.end();
}

/** Records what a caller reads. */
export class RawCaller {
  received = '';
  isClosed = false;

  private constructor(readonly socket: Socket) {
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => (this.received += bytes.toString('latin1')));
    socket.on('end', () => (this.isClosed = true));
    socket.on('close', () => (this.isClosed = true));
  }

  static async connect(port: number, host = '127.0.0.1'): Promise<RawCaller> {
    const socket = connect({ port, host, noDelay: true });
    const caller = new RawCaller(socket);
    await once(socket, 'connect');
    return caller;
  }

  /** Statuses of the responses that were read. */
  get statuses(): string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!);
  }

  /** Timeout that the last response named, in milliseconds. */
  get namedTimeoutMs(): number {
    return Number([...this.received.matchAll(/timeout=(\d+)/gi)].at(-1)?.[1]) * 1_000;
  }

  /** Sends a request and waits for the time in which it is answered. */
  async exchange(): Promise<void> {
    this.socket.write(RAW_REQUEST);
    await sleep(SYSTEM_CLOCK, ANSWER_WITHIN_MS);
  }
}
