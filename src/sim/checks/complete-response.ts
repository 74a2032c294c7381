/**
 * Check `whole-answer`: an answered caller received the complete response to its own request, and
 * no caller received chunks of another response; no request stays pending long after its deadline,
 * and no request that an entry received is lost, unless a fault that can lose requests affected its
 * path.
 */
import type { CallerAttempt, Observations } from '../observations.js';
import type { SimCluster } from '../sim-cluster.js';
import type { Violation } from './violation.js';

/** Longest time that a request may stay pending after its deadline, in milliseconds. */
const MAX_DEADLINE_OVERRUN_MS = 45_000;
/**
 * How long after its end a fault may still affect new requests because it is not yet detected, in
 * milliseconds.
 */
const FAULT_DETECTION_MS = 16_000;

/** Returns a violation for each attempt with a wrong, incomplete or missing result. */
export function checkCompleteResponse(cluster: SimCluster): Violation[] {
  const { observations } = cluster;
  const nowMs = cluster.clock.now();
  return observations.attempts.flatMap((attempt) =>
    findAttemptViolations(observations, attempt, findCandidateEngines(cluster, attempt), nowMs),
  );
}

/** Returns the engine that the request was dispatched to, or every permitted engine if none. */
function findCandidateEngines(cluster: SimCluster, attempt: CallerAttempt): readonly string[] {
  const dispatch = cluster.observations.findDispatch(attempt.requestId ?? '');
  return dispatch === undefined
    ? cluster.permittedBackends(attempt.dataClass).map((backend) => backend.name)
    : [dispatch.engine];
}

function findAttemptViolations(
  observations: Observations,
  attempt: CallerAttempt,
  engines: readonly string[],
  nowMs: number,
): Violation[] {
  const violation = (detail: string) => [
    {
      check: 'whole-answer',
      atMs: attempt.endedAtMs ?? nowMs,
      detail: `attempt ${attempt.attempt} (${attempt.requestId}, ${attempt.className}) ${detail}`,
    },
  ];
  if (attempt.outcome === 'answered') {
    return attempt.response === attempt.expectedResponse
      ? []
      : violation('received an incomplete response or one to another request');
  }
  const isForeignResponse =
    attempt.response !== '' && !attempt.expectedResponse.startsWith(attempt.response);
  if (isForeignResponse) {
    return violation('received chunks of a response to another request');
  }
  if (attempt.outcome === 'pending') {
    const isOverdue = nowMs > attempt.deadlineAtMs + MAX_DEADLINE_OVERRUN_MS;
    const isExcused = isAffectedByFault(observations, attempt, engines, nowMs);
    return isOverdue && !isExcused ? violation('never completed') : [];
  }
  const mayHaveRun = attempt.outcome === 'connection-lost' || attempt.refusal?.ran === 'unknown';
  // Preempted requests and duplicates of a claimed key may end this way without a fault.
  const isExempt =
    attempt.refusal?.reason === 'preempted' || attempt.refusal?.reason === 'duplicate-request';
  const wasReceived = attempt.requestId !== undefined;
  if (
    mayHaveRun &&
    wasReceived &&
    !isExempt &&
    !isAffectedByFault(observations, attempt, engines, nowMs)
  ) {
    return violation(
      `was lost without a fault that explains it: ${attempt.refusal?.detail ?? attempt.outcome}`,
    );
  }
  return [];
}

/** Whether a fault affected the entry or an engine during the attempt or shortly before it. */
function isAffectedByFault(
  observations: Observations,
  attempt: CallerAttempt,
  engines: readonly string[],
  nowMs: number,
): boolean {
  const names = [attempt.entry, ...engines];
  const fromMs = attempt.sentAtMs - FAULT_DETECTION_MS;
  return observations.isAffectedByFault(names, fromMs, attempt.endedAtMs ?? nowMs);
}
