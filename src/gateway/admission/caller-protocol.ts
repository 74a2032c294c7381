/** How callers and back ends name the things that a gateway needs; an adapter supplies the names. */
import type { BackendStatement } from '../statements/backend-statement.js';

/** Header names and values in turn, in the case and order they were received in. */
export type RawHeaders = readonly string[];

/** What a request says of itself in its headers. */
export interface CallerRequestHead {
  /** The caller's name for this attempt; undefined when it gave none. */
  readonly requestId: string | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Tokens of the prompt, and the most that may be generated. */
  readonly tokens: { readonly prompt: number; readonly output: number } | undefined;
  /** Id of the last event that the caller has, where it continues a stream. */
  readonly lastEventId: string | undefined;
  /** Names of headers that only a gateway may set; they are dropped. */
  readonly reservedHeaders: readonly string[];
}

/** What a gateway adds to a request on its way to a back end. */
export interface AttemptHead {
  readonly requestId: string;
  readonly remainingMs: number;
  readonly backendName: string;
  readonly tenant: string | undefined;
  /** Id of the last event that the caller has, where a stream is continued. */
  readonly lastEventId: string | undefined;
}

/** What a back end's answer says of itself. */
export interface BackendAnswerHead {
  readonly requestId: string | undefined;
  /** The back end promises that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** Another back end than the one named was found at the address. */
  readonly isMisdirected: boolean;
  /** What it says of itself; of no meaning where another back end was found. */
  readonly statement: BackendStatement;
}

/** The names of one platform. */
export interface CallerProtocol {
  /** Reads a request's headers, given by lower-case name. */
  readRequest(headers: Readonly<Record<string, string | string[] | undefined>>): CallerRequestHead;
  /** The headers of an attempt. */
  attemptHeaders(received: RawHeaders, attempt: AttemptHead): string[];
  /** Reads a back end's answer. */
  readAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): BackendAnswerHead;
  /** Headers of an answer of the gateway's own. */
  ownAnswerHeaders(requestId: string | undefined, retryAfterMs: number | undefined): string[];
}

const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'http2-settings',
]);

/** Leaves out the headers that concern one connection only, and those in `alsoDropped` (lower case). */
export function endToEndHeaders(raw: RawHeaders, alsoDropped: ReadonlySet<string>): string[] {
  const named = namedByConnection(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    if (!HOP_BY_HOP.has(name) && !named.has(name) && !alsoDropped.has(name)) {
      kept.push(raw[index]!, raw[index + 1]!);
    }
  }
  return kept;
}

function namedByConnection(raw: RawHeaders): Set<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() === 'connection') {
      for (const name of raw[index + 1]!.split(',')) {
        names.add(name.trim().toLowerCase());
      }
    }
  }
  return names;
}
