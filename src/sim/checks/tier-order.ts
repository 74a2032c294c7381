/**
 * Check `tier-order`: when a request is shed, no permitted engine that could have served it before
 * its deadline still runs a request of a lower tier after the preemption window. A larger tier
 * number is a lower tier.
 */
import type { SimCluster } from '../sim-cluster.js';
import type { CallerAttempt, ShedSnapshot } from '../observations.js';
import type { BackendProfile } from '../deployment.js';
import type { Violation } from './violation.js';

/** An engine counts only if it could have met the deadline with this safety factor and margin. */
const DEADLINE_SAFETY_FACTOR = 2;
const DEADLINE_MARGIN_MS = 1_500;
/**
 * How long after its end a fault or graceful shutdown may still affect dispatch decisions because
 * it is not yet detected, in milliseconds.
 */
const FAULT_DETECTION_MS = 10_000;

/** Returns a violation for each lower-tier request that still ran after a higher tier was shed. */
export function checkTierOrder(cluster: SimCluster): Violation[] {
  return cluster.observations.sheds.flatMap((shed) => findTierViolations(cluster, shed));
}

function findTierViolations(cluster: SimCluster, shed: ShedSnapshot): Violation[] {
  const { observations } = cluster;
  return shed.stillRunning.flatMap((running) => {
    const profile = cluster.deployment.backends.find((backend) => backend.name === running.engine)!;
    const names = [running.engine, shed.attempt.entry];
    const isViolation =
      couldMeetDeadline(profile, shed.attempt) &&
      !observations.isAffectedByFault(names, shed.atMs - FAULT_DETECTION_MS, shed.atMs) &&
      isInService(cluster, running.engine, shed);
    if (!isViolation) {
      return [];
    }
    const { attempt } = shed;
    const detail = `tier ${attempt.tier} (${attempt.requestId}) was shed as ${attempt.refusal?.reason ?? ''} while ${running.engine} ran ${running.requestId} of tier ${running.tier}`;
    return [{ check: 'tier-order', atMs: shed.atMs, detail }];
  });
}

/** Whether the engine would have met the deadline if it had started the request on arrival. */
function couldMeetDeadline(profile: BackendProfile, attempt: CallerAttempt): boolean {
  if (profile.engine === undefined) {
    return true;
  }
  const { prefillTokensPerMs, stepMs } = profile.engine;
  const outputTokens = attempt.expectedResponse.split(' ').length;
  const serviceMs = attempt.promptTokens / prefillTokensPerMs + outputTokens * stepMs;
  return (
    serviceMs * DEADLINE_SAFETY_FACTOR + DEADLINE_MARGIN_MS <=
    attempt.deadlineAtMs - attempt.sentAtMs
  );
}

/**
 * Whether the engine was neither shutting down nor recently restarted, and no policy change to it
 * alone had been accepted: operators drain engines and return them to service by such changes.
 */
function isInService(cluster: SimCluster, engine: string, shed: ShedSnapshot): boolean {
  const { shutdowns, acceptedChanges } = cluster.observations;
  const isShuttingDown = shutdowns.some(
    (shutdown) =>
      shutdown.process === engine &&
      shutdown.atMs <= shed.atMs &&
      (shutdown.restartedAtMs ?? Number.POSITIVE_INFINITY) > shed.atMs - FAULT_DETECTION_MS,
  );
  const hasLabelChange = acceptedChanges.some(
    (change) =>
      change.entries.length === 1 &&
      change.entries[0] === `engine.${engine}` &&
      change.acceptedAtMs <= shed.atMs,
  );
  return !isShuttingDown && !hasLabelChange;
}
