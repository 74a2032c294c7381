/** Ports, options and result records of a request in a gateway. */
import type { Clock } from '../../clock.js';
import type { RandomSource } from '../../random.js';
import type { Backend } from '../../routing/backend.js';
import type { Distance } from '../../routing/zone-topology.js';
import type { Route } from '../../routing/configuration.js';
import type { SoftwareVersion } from '../../streams/software-version.js';
import type { BackendDirectory } from '../dispatch/backend-directory.js';
import type { RunCrashTracker } from '../crashes/crashing-requests.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { BackendSender } from './attempt.js';
import type { ConfineCallback } from './fault-boundary.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import type { CallerProtocol } from '../admission/caller-protocol.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { ReceivedStatement } from '../statements/backend-condition.js';
import type { IdentifiedProcess } from '../processes/process-identifier.js';
import type { BackendStatement } from '../statements/backend-statement.js';

/** Log record of one attempt; the field names are part of the log format. */
export interface AttemptRecord {
  readonly backend: string;
  /** Announced software version of the backend. */
  readonly version: string;
  /** The process that ran the attempt; omitted if it was not identified. */
  process?: IdentifiedProcess;
  /** Id of the event after which the attempt resumes the stream; omitted for a new stream. */
  readonly afterEvent?: string;
  /** Time from the request's arrival to the send, in milliseconds. */
  readonly afterMs: number;
  /**
   * Estimated number of occupied slots at the time of the choice, and the total number of slots.
   */
  readonly occupied: number;
  readonly slots: number;
  /** Estimated share of recent requests that failed there, at the time of the choice. */
  readonly failureShare: number;
  /** Network distance to the backend. */
  readonly distance: Distance;
  /** Body bytes sent and received. */
  bytes: number;
  outcome: AttemptOutcome | 'under-way';
  detail: string;
  /** Time from the send to the end, in milliseconds; omitted until the end. */
  lastedMs?: number;
  /** Time without data from the backend before the end, in milliseconds; omitted until the end. */
  silentMs?: number;
  /** Statement of the backend in its response headers; omitted if it made none. */
  stated?: Pick<BackendStatement, 'limitPerS' | 'isLeaving' | 'restMs'>;
}

/** What a request that was offered to backends waits for; part of the log format. */
export type AttemptStage =
  /** A slot, or the charge of a retry to its tenant. */
  | 'waiting'
  /** The first event of a stream, or the response of a backend. */
  | 'sent'
  /** The rest of a stream. */
  | 'streaming';

/** How a request ended, for metrics and the log. */
export interface RequestEnd {
  /**
   * HTTP status of the response; 0 if the caller disconnected before one, or the response was
   * aborted.
   */
  readonly status: number;
  readonly reason: string;
  /** What it waited for at its end. */
  readonly stage: AttemptStage;
  /** Number of attempts that may have reached their backend. */
  readonly attempts: number;
  readonly tries: readonly AttemptRecord[];
  readonly waitedMs: number;
  readonly firstByteMs: number | undefined;
  readonly totalMs: number;
  /** Longest pause between two parts of the response, in milliseconds; 0 for a single part. */
  readonly longestPauseMs: number;
}

/** How one attempt ended, for the evaluation of its backend's version. */
export interface EndedAttempt {
  readonly backend: Backend;
  readonly route: Route;
  /**
   * Whether it failed or was late through the fault of the backend; undefined if its outcome does
   * not show that.
   */
  readonly isBad: boolean | undefined;
}

/** The statement in a response head received from a backend. */
export interface ResponseStatement extends ReceivedStatement {
  readonly backend: Backend;
  readonly requestId: string;
}

/** Result of the charge of a retry. */
export interface RetryCharge {
  readonly isGranted: boolean;
  /** Refunds the charge of a retry that is not made, where it is still refundable. */
  giveBack(): void;
}

/** Dependencies of a request. */
export interface RequestPorts {
  /** Wraps the callbacks of the request that other objects call. */
  readonly confine: ConfineCallback;
  readonly clock: Clock;
  readonly directory: BackendDirectory;
  readonly dispatcher: Dispatcher;
  readonly sender: BackendSender;
  readonly protocol: CallerProtocol;
  readonly random: RandomSource;
  readonly crashes: RunCrashTracker;
  /**
   * Whether the process that runs a stream at a backend must be identified, since its announcement
   * may be that of an earlier one.
   */
  mustIdentifyProcess(backend: Backend): boolean;
  /** Takes one retry from the budget of a service; returns false if none is left. */
  takeRetry(service: string): boolean;
  /** Gives back a retry that was taken and not made. */
  returnRetry(service: string): void;
  /**
   * Charges a retry of a request that may have been executed to its tenant; `onResult` may be
   * called synchronously.
   */
  chargeRetry(request: AcceptedRequest, onResult: (result: RetryCharge) => void): void;
  /** Called with the statement in each response head that is from the intended backend. */
  onStatement(statement: ResponseStatement): void;
  /**
   * Called before the first event of a stream that its caller does not resume is sent to the
   * caller.
   */
  onStreamBegun(request: AcceptedRequest, backend: Backend, version: SoftwareVersion): void;
  /** Called once at the end of each attempt. */
  onTryOver(attempt: EndedAttempt): void;
  /** Called once at the end of the request. */
  onEnd(request: AcceptedRequest, end: RequestEnd): void;
}

/** Time limits of requests. */
export interface RequestOptions {
  /** Interval at which the utility of waiting is recomputed, in milliseconds. Default 100. */
  readonly waitReviewMs: number;
  /**
   * Callers give up on a stream once it has sent no event for the longest of these: a time in
   * milliseconds, and multiples of the target latency and of the maximum pause. Defaults 2,000, 4
   * and 8, as stated by users.
   */
  readonly streamPatienceMs: number;
  readonly streamPatienceTargets: number;
  readonly streamPatiencePauses: number;
  /**
   * Maximum wait of an interrupted stream for another backend, in milliseconds; callers give up
   * soon after. Default 1,500.
   */
  readonly resumeWaitMs: number;
  /** Share of the target latency after which a safe request is retried elsewhere. Default 0.6. */
  readonly safeHeadShare: number;
  /**
   * Time without data after which a resumable stream resumes elsewhere if a slot is free, in
   * milliseconds. Default 1,200.
   */
  readonly streamSilenceMs: number;
  /** Retry-After of refusals, in milliseconds. Default 300. */
  readonly retryAfterMs: number;
  /**
   * Bounds of the Retry-After when all slots are occupied, in milliseconds. Defaults 300 and 2,500:
   * a shorter one causes more attempts than a caller can gain from; with a longer one a slot that
   * becomes free sooner than expected is missed.
   */
  readonly overloadRetryMinMs: number;
  readonly overloadRetryMaxMs: number;
  /**
   * Maximum Retry-After as a share of the time that the caller has left; callers ignore a longer
   * one. Default 1/3.
   */
  readonly maxRetryShare: number;
}

/** Default time limits of requests. */
export const DEFAULT_REQUEST_OPTIONS: RequestOptions = {
  waitReviewMs: 100,
  streamPatienceMs: 2_000,
  streamPatienceTargets: 4,
  streamPatiencePauses: 8,
  resumeWaitMs: 1_500,
  safeHeadShare: 0.6,
  streamSilenceMs: 1_200,
  retryAfterMs: 300,
  overloadRetryMinMs: 300,
  overloadRetryMaxMs: 2_500,
  maxRetryShare: 1 / 3,
};

/**
 * Returns how long a backend may send nothing before a retryable request is retried elsewhere, in
 * milliseconds.
 */
export function silenceTimeoutMs(
  { kind, targetLatencyMs }: Route,
  { safeHeadShare, streamSilenceMs }: RequestOptions,
): number {
  return kind === 'safe' ? targetLatencyMs * safeHeadShare : streamSilenceMs;
}
