/** Reads the response heads of one request's attempts. */
import { EMPTY_HEADER_VALUE } from '../../http/header-value.js';
import type { BackendResponseInfo } from '../admission/caller-protocol.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { ResponseHead } from './attempt.js';
import type { RequestPorts } from './request-model.js';
import { addStatement } from './request-record.js';
import type { RunningAttempt } from './running-attempt.js';

/** Interprets response heads and reports what backends state in them. */
export class ResponseHeadReader {
  constructor(
    private readonly request: AcceptedRequest,
    private readonly ports: Pick<RequestPorts, 'protocol' | 'onStatement'>,
  ) {}

  /** Interprets a response head; undefined if the response belongs to another request. */
  read({ status, headers }: ResponseHead): BackendResponseInfo | undefined {
    const response = this.ports.protocol.readAnswer(status, headers);
    const isOwn = (response.requestId ?? EMPTY_HEADER_VALUE) === this.request.requestId;
    return isOwn ? response : undefined;
  }

  /** Reports what the backend of an attempt states of itself, unless it is not the intended one. */
  reportStatement(
    { backend, sentAtMs, log }: RunningAttempt,
    { statement, isNotExecuted, isMisdirected }: BackendResponseInfo,
  ): void {
    if (isMisdirected) {
      return;
    }
    addStatement(log!, statement);
    this.ports.onStatement({
      backend,
      requestId: this.request.requestId,
      statement,
      sentAtMs,
      isTurnedAway: isNotExecuted,
    });
  }
}
