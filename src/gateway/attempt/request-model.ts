/** A request in a gateway: what it is, what it needs, and how it may end. */
import type { Clock } from '../../clock.js';
import type { RandomSource } from '../../random.js';
import type { Backend } from '../../routing/backend.js';
import type { Distance } from '../../routing/places.js';
import type { Route } from '../../routing/configuration.js';
import type { BackendDirectory } from '../dispatch/backend-directory.js';
import type { RunCrashes } from '../crashes/crashing-requests.js';
import type { AcceptedRequest } from './accepted-request.js';
import type { BackendSender } from './attempt.js';
import type { AttemptOutcome } from '../dispatch/backend-health.js';
import type { CallerProtocol } from '../admission/caller-protocol.js';
import type { Dispatcher } from '../dispatch/dispatcher.js';
import type { HeardStatement } from '../statements/backend-condition.js';
import type { BackendStatement } from '../statements/backend-statement.js';

/** One back end that was asked, for the log. */
export interface RequestTry {
  readonly backend: string;
  /** Time from the request's arrival to the send, in milliseconds. */
  readonly afterMs: number;
  /** Slots that were believed to be occupied at the choice, and how many there are. */
  readonly occupied: number;
  readonly slots: number;
  /** Share of requests that failed there lately, as it was believed at the choice. */
  readonly failureShare: number;
  /** How far the back end is. */
  readonly distance: Distance;
  /** Bytes of the request's body and of the answer's that passed, in either way. */
  bytes: number;
  outcome: AttemptOutcome | 'under-way';
  detail: string;
  /** What the back end said of itself in the head of its answer; missing where that is nothing. */
  stated?: Pick<BackendStatement, 'limitPerS' | 'isLeaving' | 'restMs'>;
}

/** How a request ended, for counters and the log. */
export interface RequestEnd {
  /** Status of the answer; 0 when the caller left before one. */
  readonly status: number;
  readonly reason: string;
  readonly attempts: number;
  readonly tries: readonly RequestTry[];
  readonly waitedMs: number;
  readonly firstByteMs: number | undefined;
  readonly totalMs: number;
  /** Longest pause between two parts of the answer, in milliseconds; 0 for a single part. */
  readonly longestPauseMs: number;
}

/** How one send of a request ended, for the judgement of its back end's version. */
export interface TryOver {
  readonly backend: Backend;
  readonly route: Route;
  /** Whether it failed or was late by the back end's doing; undefined where its end says nothing. */
  readonly isBad: boolean | undefined;
}

/** The head of an answer came from a back end. */
export interface HeardAnswer extends HeardStatement {
  readonly backend: Backend;
  readonly requestId: string;
}

/** What a request needs from its surroundings. */
export interface RequestPorts {
  readonly clock: Clock;
  readonly directory: BackendDirectory;
  readonly dispatcher: Dispatcher;
  readonly sender: BackendSender;
  readonly protocol: CallerProtocol;
  readonly random: RandomSource;
  readonly crashes: RunCrashes;
  /** Takes one repeat from the budget of a service. */
  takeRepeat(service: string): boolean;
  /** Charges a request that may have run once more to its tenant; `onResult` may be called before this returns. */
  chargeAgain(request: AcceptedRequest, onResult: (isGranted: boolean) => void): void;
  /** Called with each head of an answer that is the back end's own. */
  onStatement(heard: HeardAnswer): void;
  /** Called once for each send. */
  onTryOver(over: TryOver): void;
  /** Called once. */
  onEnd(request: AcceptedRequest, end: RequestEnd): void;
}

/** Times and limits of requests. */
export interface RequestOptions {
  /** Pause between two looks at what waiting on is worth, in milliseconds. Default 100. */
  readonly waitReviewMs: number;
  /**
   * Callers give up a stream that is silent for the longest of these: a time in milliseconds, and
   * multiples of the target latency and of the longest pause. Defaults 2,000, 4 and 8, as users name them.
   */
  readonly streamPatienceMs: number;
  readonly streamPatienceTargets: number;
  readonly streamPatiencePauses: number;
  /** Longest wait of a broken stream for another back end, in milliseconds; callers give up soon after. Default 1,500. */
  readonly resumeWaitMs: number;
  /** Share of the target latency after which a safe request is tried elsewhere. Default 0.6. */
  readonly safeHeadShare: number;
  /** Silence after which a resumable stream is continued elsewhere, if a slot is free, in milliseconds. Default 1,200. */
  readonly streamSilenceMs: number;
  /** Retry-After of refusals, in milliseconds. Default 300. */
  readonly retryAfterMs: number;
  /**
   * Bounds of the Retry-After when engines are full, in milliseconds. Defaults 300 and 2,500: below, a
   * caller costs more tries than it can gain; above, a slot that is free sooner than expected is missed.
   */
  readonly overloadRetryMinMs: number;
  readonly overloadRetryMaxMs: number;
  /** Longest Retry-After as a share of the time that the caller has left; callers ignore more. Default 1/3. */
  readonly maxRetryShare: number;
}

/** Defaults of requests. */
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

/** How long a back end that serves a request which may be repeated may be silent, in milliseconds. */
export function silencePatienceMs(
  { kind, targetLatencyMs }: Route,
  { safeHeadShare, streamSilenceMs }: RequestOptions,
): number {
  return kind === 'safe' ? targetLatencyMs * safeHeadShare : streamSilenceMs;
}
