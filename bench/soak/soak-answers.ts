/** Checks that each complete request of a soak test gets an answer or a refusal. */
import type { Execution } from './soak-backend.js';
import type { BackendBreak, ProcessEnd } from './soak-fleet.js';
import { SOAK_TIMEOUT_MS, STOP_GRACE_MS } from './soak-fleet.js';
import type { ObservedRequest } from './soak-run.js';

/** Causes for which a request may end without an answer. */
export interface AnswerContext {
  /** Executions of a request, at any backend. */
  executionsOf(requestId: string): readonly Execution[];
  /** Ends of the processes of a gateway. */
  endsOf(gateway: number): readonly ProcessEnd[];
  /** Breaks of the connections to backends. */
  readonly breaks: readonly BackendBreak[];
  /** Requests whose response a backend broke off. */
  readonly brokenOff: ReadonlySet<string>;
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
  const canBreakOff = sent.hasHead === true && sent.kind === 'stream';
  const isOverTime = sent.endedAtMs - sent.sentAtMs >= SOAK_TIMEOUT_MS - TIMEOUT_TOLERANCE_MS;
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
  return isAfterStop && (isAfterWindow || isAfterGrace) && sent.hasHead !== true;
}

function isBrokenOff(sent: ObservedRequest, context: AnswerContext): boolean {
  const hasMet = ({ backendId, atMs }: Execution, { index, fromMs, untilMs }: BackendBreak) =>
    // Each new name at an address appends an `x` to the previous id.
    backendId.replaceAll('x', '') === `e-${index}` && atMs <= untilMs && sent.endedAtMs >= fromMs;
  return (
    context.brokenOff.has(sent.id) ||
    context
      .executionsOf(sent.id)
      .some((execution) => context.breaks.some((broken) => hasMet(execution, broken)))
  );
}
