/** HTTP calls with a JSON response and a timeout for the whole call. */
import { request } from 'node:http';
import type { Agent, IncomingHttpHeaders } from 'node:http';
import { SYSTEM_CLOCK } from '../clock.js';
import { ResponsePieceLimiter } from '../http/response-piece-limiter.js';
import type { TooManyPiecesError } from '../http/response-piece-limiter.js';
import { WeirvaleError } from '../request/errors.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';

/** Why a call failed. */
export type CallFailure =
  /** The connection was refused: nothing listens on the address. */
  | 'closed'
  /** The call timed out. */
  | 'silent'
  /** The connection failed, or the response is not valid JSON. */
  | 'broken';

/** Longest response that is read; beyond it the call fails. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** A call without a response, or with one that is not valid JSON. */
export class CallFailedError extends WeirvaleError {
  readonly code = 'call-failed';

  constructor(
    message: string,
    readonly reason: CallFailure,
  ) {
    super(message);
  }
}

/** A response with a JSON body. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: unknown;
}

/** Target and body of a call. */
export interface JsonCall {
  /** IP:PORT. */
  readonly address: string;
  readonly path: string;
  /** Sent as JSON by POST; without a body, the call is a GET. */
  readonly body?: unknown;
}

/** Makes a call; resolves within `timeoutMs`, whatever the other side sends. */
export function callJson(
  { address, path, body }: JsonCall,
  timeoutMs: number,
  agent: Agent,
): Promise<Result<JsonResponse, CallFailedError>> {
  const [host, port] = address.split(':');
  const method = body === undefined ? 'GET' : 'POST';
  const headers = body === undefined ? {} : { 'Content-Type': 'application/json' };
  return new Promise((resolve) => {
    const call = request({ host, port, path, agent, method, headers });
    const endWith = (reason: CallFailure, message: string) => {
      SYSTEM_CLOCK.clearTimeout(timer);
      resolve(err(new CallFailedError(message, reason)));
    };
    const timer = SYSTEM_CLOCK.setTimeout(() => {
      endWith('silent', 'timed out');
      call.destroy();
    }, timeoutMs);
    const pieces = new ResponsePieceLimiter(() => SYSTEM_CLOCK.now());
    const breakOffIf = (error: TooManyPiecesError | undefined) => {
      if (error !== undefined) {
        endWith('broken', error.message);
        call.destroy();
      }
    };
    const fail = ({ code, message }: NodeJS.ErrnoException) =>
      endWith(code === 'ECONNREFUSED' ? 'closed' : 'broken', message);
    call.on('error', fail);
    call.on('information', () => breakOffIf(pieces.countInterim()));
    call.on('upgrade', (_response, socket) => {
      socket.destroy();
      endWith('broken', 'the other side switched protocols');
    });
    call.on('close', () => endWith('broken', 'connection closed without a response'));
    call.on('response', (response) => {
      const chunks: Buffer[] = [];
      let length = 0;
      response.on('data', (bytes: Buffer) => {
        length += bytes.length;
        breakOffIf(pieces.countPiece(bytes.length));
        if (length > MAX_RESPONSE_BYTES) {
          call.destroy();
          return;
        }
        chunks.push(bytes);
      });
      response.on('error', fail);
      response.on('close', () => fail(new Error('connection closed before the response ended')));
      response.on('end', () => {
        SYSTEM_CLOCK.clearTimeout(timer);
        const text = Buffer.concat(chunks).toString('utf8');
        resolve(parseResponse(response.statusCode ?? 0, response.headers, text));
      });
    });
    call.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

function parseResponse(
  status: number,
  headers: IncomingHttpHeaders,
  text: string,
): Result<JsonResponse, CallFailedError> {
  try {
    return ok({ status, headers, body: text === '' ? undefined : JSON.parse(text) });
  } catch {
    return err(new CallFailedError(`response with status ${status} is not valid JSON`, 'broken'));
  }
}
