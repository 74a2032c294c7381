/** One call with a JSON answer and a bound on its whole duration. */
import { request } from 'node:http';
import type { Agent, IncomingHttpHeaders } from 'node:http';
import { WeirvaleError } from '../request/errors.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';

/** Why a call failed. */
export type CallFailure =
  /** Nothing listens at the address. */
  | 'closed'
  /** No answer in time. */
  | 'silent'
  /** The connection ended, or the answer is no JSON. */
  | 'broken';

/** The call brought no answer, or one that is no JSON. */
export class CallFailedError extends WeirvaleError {
  readonly code = 'call-failed';

  constructor(
    message: string,
    readonly reason: CallFailure,
  ) {
    super(message);
  }
}

/** A JSON answer. */
export interface JsonAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: unknown;
}

/** What is called. */
export interface JsonCall {
  /** IP:PORT. */
  readonly address: string;
  readonly path: string;
  /** Sent as JSON, by POST; the call is a GET without it. */
  readonly body?: unknown;
}

/** Makes a call; ends after `timeoutMs` at the latest. */
export function callJson(
  { address, path, body }: JsonCall,
  timeoutMs: number,
  agent: Agent,
): Promise<Result<JsonAnswer, CallFailedError>> {
  const [host, port] = address.split(':');
  const method = body === undefined ? 'GET' : 'POST';
  const headers = body === undefined ? {} : { 'Content-Type': 'application/json' };
  return new Promise((resolve) => {
    const call = request({ host, port, path, agent, method, headers });
    let isTimedOut = false;
    const timer = setTimeout(() => {
      isTimedOut = true;
      call.destroy(new Error('timed out'));
    }, timeoutMs);
    const fail = (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      const reason = error.code === 'ECONNREFUSED' ? 'closed' : 'broken';
      resolve(err(new CallFailedError(error.message, isTimedOut ? 'silent' : reason)));
    };
    call.on('error', fail);
    call.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (bytes: Buffer) => chunks.push(bytes));
      response.on('error', fail);
      response.on('close', () => fail(new Error('the connection closed')));
      response.on('end', () => {
        clearTimeout(timer);
        const text = Buffer.concat(chunks).toString('utf8');
        resolve(parse(response.statusCode ?? 0, response.headers, text));
      });
    });
    call.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

function parse(
  status: number,
  headers: IncomingHttpHeaders,
  text: string,
): Result<JsonAnswer, CallFailedError> {
  try {
    return ok({ status, headers, body: text === '' ? undefined : JSON.parse(text) });
  } catch {
    return err(new CallFailedError(`status ${status} without JSON`, 'broken'));
  }
}
