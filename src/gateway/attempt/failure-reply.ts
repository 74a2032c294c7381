/** Answers a request that no backend serves. */
import type { CallerProtocol } from '../admission/caller-protocol.js';
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import { sendRefusal } from '../admission/send-refusal.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { CallerReply } from './attempt.js';
import { refusalRetryAfterMs } from './refusal-retry-after.js';
import type { RequestOptions } from './request-model.js';
import type { RequestWait } from './request-wait.js';

/** What is known of a request that failed. */
export interface FailedRequest {
  /** Whether a backend may have executed it. */
  readonly mayHaveRun: boolean;
  /** Its last wait for a backend; undefined if it did not wait. */
  readonly wait: RequestWait | undefined;
  readonly nowMs: number;
  /** Overrides the computed Retry-After, in milliseconds. */
  readonly retryAfterMs?: number | undefined;
}

/** How a request ended. */
export interface RequestOutcome {
  readonly status: number;
  readonly reason: string;
}

/** Sends the refusals of one request. */
export class FailureReply {
  constructor(
    private readonly request: AcceptedRequest,
    private readonly reply: CallerReply,
    private readonly protocol: CallerProtocol,
    private readonly options: RequestOptions,
  ) {}

  /** Answers with `reason`, or, if the request may have run, with a status that promises nothing. */
  send(reason: GatewayRefusal['reason'], failed: FailedRequest): RequestOutcome {
    const refusal = failed.mayHaveRun
      ? ({ reason: reason === 'timed-out' ? reason : 'backend-failed' } as const)
      : { reason, retryAfterMs: failed.retryAfterMs ?? this.retryAfterMs(reason, failed) };
    const { requestId } = this.request;
    const status = sendRefusal(this.reply, this.protocol, requestId, refusal);
    return { status, reason: refusal.reason };
  }

  private retryAfterMs(reason: GatewayRefusal['reason'], { wait, nowMs }: FailedRequest): number {
    const remainingMs = this.request.deadlineAtMs - nowMs;
    const queueRetryAfterMs = wait && (() => wait.retryAfterMs());
    return refusalRetryAfterMs(reason, { options: this.options, queueRetryAfterMs, remainingMs });
  }
}
