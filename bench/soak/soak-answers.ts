/** Checks that each complete request of a soak test gets an answer or a refusal. */
import type { Execution } from './soak-backend.js';
import type { BackendPeriod, ProcessEnd } from './soak-fleet.js';
import { STOP_GRACE_MS, soakTimeoutMs } from './soak-fleet.js';
import type { ObservedRequest } from './soak-run.js';
import { isStreamKind, parseEvents } from './soak-streams.js';

/** Causes for which a request may end without an answer. */
export interface AnswerContext {
  /** Executions of a request, at any backend. */
  executionsOf(requestId: string): readonly Execution[];
  /** Ends of the processes of a gateway. */
  endsOf(gateway: number): readonly ProcessEnd[];
  /** Breaks of the connections to backends. */
  readonly breaks: readonly BackendPeriod[];
  /** Times in which sound backends were silent. */
  readonly silences: readonly BackendPeriod[];
}

/** Difference between the readings of a time-out here and at a gateway, in milliseconds. */
const TIMEOUT_TOLERANCE_MS = 50;
/** Time after a stop signal for which a gateway serves new requests, in milliseconds. */
const ACCEPT_WINDOW_MS = 3_000;
/** Time by which a request may reach its gateway later than it is sent here, in milliseconds. */
const SEND_TOLERANCE_MS = 200;
/** Time before the end of the grace time at which a gateway ends, in milliseconds. */
const GRACE_MARGIN_MS = 400;

/** Reports requests that ended without an answer or a refusal although nothing excuses it. */
export function findUnanswered(
  observed: readonly ObservedRequest[],
  context: AnswerContext,
): string[] {
  return observed
    .filter((sent) => sent.status === 0 && !isExcused(sent, context))
    .map((sent) => {
      const end = sent.hasHead === true ? 'its response broke off' : 'it got no response';
      const tookMs = Math.round(sent.endedAtMs - sent.sentAtMs);
      return `${sent.id} (${sent.kind}) was not answered: ${end} after ${tookMs} ms`;
    });
}

function isExcused(sent: ObservedRequest, context: AnswerContext): boolean {
  const isEnded = context.endsOf(sent.gateway).some((end) => isEndedBy(sent, end));
  // Before the head of a response, a gateway can answer for a backend and at the deadline; all
  // responses but streams are complete here before their heads are sent.
  const canBreakOff = sent.hasHead === true && isStreamKind(sent.kind);
  const timeoutMs = soakTimeoutMs(sent.kind);
  const isOverTime = sent.endedAtMs - sent.sentAtMs >= timeoutMs - TIMEOUT_TOLERANCE_MS;
  const isBroken = canBreakOff && (isOverTime || isBrokenOff(sent, context));
  return sent.isConnectionRefused === true || isEnded || isBroken;
}

/** Whether the process that had the request was ended meanwhile. */
function isEndedBy(sent: ObservedRequest, { signal, atMs, restartedAtMs }: ProcessEnd): boolean {
  if (signal === 'SIGKILL') {
    return sent.endedAtMs >= atMs && sent.sentAtMs <= restartedAtMs;
  }
  // A process that is stopped answers what it has; a later request may outlast its grace time or
  // meet a closed connection.
  const isAfterStop = sent.sentAtMs >= atMs && sent.sentAtMs <= restartedAtMs;
  const isAfterWindow = sent.sentAtMs >= atMs + ACCEPT_WINDOW_MS - SEND_TOLERANCE_MS;
  const isAfterGrace = sent.endedAtMs >= atMs + STOP_GRACE_MS - GRACE_MARGIN_MS;
  // Its backend may still be at work on a stream when the grace time ends.
  const isCutAtEnd = sent.kind === 'long' && sent.sentAtMs <= restartedAtMs && isAfterGrace;
  const isUnanswered = isAfterStop && (isAfterWindow || isAfterGrace) && sent.hasHead !== true;
  return isUnanswered || (isCutAtEnd && sent.endedAtMs <= restartedAtMs);
}

/** How and when a run of a request ended; `atMs` in milliseconds. */
interface RunEnd {
  readonly run: Execution;
  readonly atMs: number;
  /** Whether the backend or its link ended it, and not the gateway. */
  readonly isBroken: boolean;
}

/**
 * Whether the request ended because a backend or its link broke off a run of it. A run that the
 * gateway had left before that explains nothing, nor does a break before a run that the gateway
 * ended at a silent backend.
 */
function isBrokenOff(sent: ObservedRequest, context: AnswerContext): boolean {
  const [event] = parseEvents(sent.body);
  const canContinue = ({ version }: Execution) => event === undefined || event.version === version;
  const ends = context
    .executionsOf(sent.id)
    .filter((run) => run.atMs <= sent.endedAtMs && canContinue(run))
    .map((run) => endOf(run, sent.endedAtMs, context.breaks))
    .sort((one, other) => one.atMs - other.atMs);
  const last = ends.at(-1);
  const isLastExcused = last?.isBroken === true || !wasSilent(last, context.silences);
  return ends.some(({ isBroken }) => isBroken) && isLastExcused;
}

function endOf(run: Execution, untilMs: number, breaks: readonly BackendPeriod[]): RunEnd {
  const closedAtMs = Math.min(run.closedAtMs, untilMs);
  const breakTimes = breaks
    .filter((broken) => isAt(run, broken.index) && broken.untilMs >= run.atMs)
    .map(({ fromMs }) => Math.max(fromMs, run.atMs));
  const brokenAtMs = Math.min(run.brokenAtMs, ...breakTimes);
  const isBroken = brokenAtMs <= closedAtMs;
  return { run, atMs: isBroken ? brokenAtMs : closedAtMs, isBroken };
}

function wasSilent(end: RunEnd | undefined, silences: readonly BackendPeriod[]): boolean {
  return silences.some(
    ({ index, fromMs, untilMs }) =>
      end !== undefined && isAt(end.run, index) && fromMs <= end.atMs && untilMs >= end.run.atMs,
  );
}

/** Each new name at an address appends an `x` to the previous id. */
function isAt({ backendId }: Execution, index: number): boolean {
  return backendId.replaceAll('x', '') === `e-${index}`;
}
