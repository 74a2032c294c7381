/**
 * The responses of one connection, in the order of their requests.
 *
 * The connection is closed after a response that announces it by `Connection: close`. Such a response
 * must be the last one: the responses to requests that were read after it would be dropped.
 */
import type { ServerResponse } from 'node:http';

/** The field by which Node's HTTP server closes the connection once the response is flushed. */
interface ClosingResponse {
  _last: boolean;
}

/** Keeps the server from closing the connection after `response`. */
export function leaveOpenAfter(response: ServerResponse): void {
  (response as unknown as ClosingResponse)._last = false;
}

/** Decides which response of a connection announces that the connection is closed. */
export class ConnectionResponses {
  private newest: ServerResponse | undefined;
  /** The newest response, once it has announced that the connection is closed. */
  private announcing: ServerResponse | undefined;
  /** Whether the last response must announce it, whatever else holds. */
  private mustClose = false;
  /** Whether the caller may have been told that no further request is processed. */
  private isOver = false;

  /**
   * Adds the response to a request that was just read. If the response before it has announced the
   * close already, the connection stays open until the new response is flushed.
   *
   * @returns whether the announcement was sent before the request was read, so that the caller takes
   *   the request as not processed
   */
  add(response: ServerResponse): boolean {
    this.isOver ||= this.announcing?.writableFinished === true;
    if (this.announcing !== undefined) {
      leaveOpenAfter(this.announcing);
      this.announcing = undefined;
    }
    this.newest = response;
    return this.isOver;
  }

  /**
   * Returns whether `response`, whose head is about to be sent, announces the close.
   *
   * @param isWanted - whether the connection is to be closed as soon as all responses are flushed
   */
  announceClose(response: ServerResponse, isWanted: boolean): boolean {
    this.mustClose ||= isWanted;
    if (response !== this.newest || !this.mustClose) {
      return false;
    }
    this.announcing = response;
    return true;
  }
}
