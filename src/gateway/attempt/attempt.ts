/**
 * Interfaces between the gateway core and the transport for one attempt to send a request to a
 * backend.
 */
import type { Backend } from '../../routing/backend.js';
import type { RawHeaders } from '../admission/caller-protocol.js';
import type { IdentifiedProcess } from '../processes/process-identifier.js';

/** An attempt to be sent. */
export interface OutgoingAttempt {
  readonly backend: Backend;
  /** Round-trip time to the backend, in milliseconds; omitted if negligible. */
  readonly roundTripMs?: number;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether `AttemptHandlers.onProcess` is called; omitted for false. */
  readonly needsProcess?: boolean;
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** Why an attempt ended without a complete response. */
export interface AttemptFailure {
  /** False only if no byte can have reached the backend. */
  readonly mayHaveRun: boolean;
  /** Whether the host refused the connection because nothing listens on the backend's address. */
  readonly isPortClosed: boolean;
  /**
   * Whether the network did not respond: the connect timed out, or the connection was reported
   * unreachable.
   */
  readonly isSilent?: boolean;
  readonly detail: string;
}

/** Status and headers of a backend's response. */
export interface ResponseHead {
  readonly status: number;
  readonly rawHeaders: RawHeaders;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Callbacks of an attempt; none but `onProcess` is called after `onEnd`, none after `onFailure`. */
export interface AttemptHandlers {
  /** A new connection was established after `elapsedMs`. */
  onConnected?(elapsedMs: number): void;
  /**
   * Called once, if the attempt asks for it, with the process at the other end of the connection;
   * undefined if it could not be found out although it was asked for longer than a sound process
   * stands still. May be called after data was received or the response
   * was complete, and not at all if the attempt fails or is cancelled first.
   */
  onProcess?(process: IdentifiedProcess | undefined): void;
  onHead(head: ResponseHead): void;
  onData(bytes: Buffer): void;
  /** The response is complete. */
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

/** Controls an attempt in progress. */
export interface AttemptHandle {
  /** Closes the connection; no handler is called afterwards. */
  cancel(): void;
  /**
   * Like `cancel`, for a response that does not belong to the request. Its backend may have sent
   * such bytes on other connections too, so none of those is used for a request that may run only
   * once.
   */
  discardForeignResponse(): void;
  /**
   * Cancels the attempt if nothing was sent yet because no connection is established; returns
   * whether it did.
   */
  withdraw(): boolean;
  pause(): void;
  resume(): void;
}

/** Sends requests to backends. */
export interface BackendSender {
  send(attempt: OutgoingAttempt, handlers: AttemptHandlers): AttemptHandle;
}

/** The response stream to the caller. */
export interface CallerReply {
  /** Sends the response head; without a Content-Length the body uses chunked transfer encoding. */
  start(status: number, headers: RawHeaders): void;
  /** Sends a part of the body; returns false if the caller applies backpressure. */
  write(bytes: Buffer): boolean;
  /** Completes the response. */
  end(bytes?: Buffer): void;
  /** Closes the connection, so that the caller detects an incomplete response. */
  abort(): void;
  /** Calls `callback` once the written data has drained. */
  onceDrained(callback: () => void): void;
}
