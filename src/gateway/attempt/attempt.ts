/** One send of a request to one back end, as the gateway's core sees it. */
import type { Backend } from '../../routing/backend.js';
import type { RawHeaders } from '../admission/caller-protocol.js';

/** What is sent. */
export interface OutgoingAttempt {
  readonly backend: Backend;
  /** Time of a message there and back, in milliseconds; missing where it is next to nothing. */
  readonly roundTripMs?: number;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** Why an attempt brought no whole answer. */
export interface AttemptFailure {
  /** False only when no byte can have reached the back end. */
  readonly mayHaveRun: boolean;
  /** Whether the machine answered that nothing listens at the back end's address. */
  readonly isPortClosed: boolean;
  /** Whether the network said nothing: no connection came up in time, or one was given up for its silence. */
  readonly isSilent?: boolean;
  readonly detail: string;
}

/** The head of a back end's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly rawHeaders: RawHeaders;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Who hears of an attempt; after `onEnd` or `onFailure` nothing follows. */
export interface AttemptHandlers {
  /** A new connection came up, after so many milliseconds. */
  onConnected?(elapsedMs: number): void;
  onHead(head: AnswerHead): void;
  onData(bytes: Buffer): void;
  /** The answer is whole. */
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

/** An attempt under way. */
export interface AttemptHandle {
  /** Closes the connection; no handler is called any more. */
  cancel(): void;
  /** The same if nothing was sent yet, for want of a connection; says whether. */
  withdraw(): boolean;
  pause(): void;
  resume(): void;
}

/** Sends requests to back ends. */
export interface BackendSender {
  send(attempt: OutgoingAttempt, handlers: AttemptHandlers): AttemptHandle;
}

/** The caller's side of a request. */
export interface CallerReply {
  /** Sends the head of the answer; without a length it goes out in chunks. */
  start(status: number, headers: RawHeaders): void;
  /** Sends a part; false when the caller reads too slowly. */
  write(bytes: Buffer): boolean;
  /** Ends the answer as complete. */
  end(bytes?: Buffer): void;
  /** Closes the connection, so that the answer is seen to be broken. */
  abort(): void;
  /** Calls back once the caller has read what was written. */
  onceDrained(callback: () => void): void;
}
