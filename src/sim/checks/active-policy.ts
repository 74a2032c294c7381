/**
 * Check `policy-in-force`: every reachable process applies an accepted change within the time
 * limit; the generation of a process never decreases; no request is dispatched to an engine that
 * the active policy forbids; no accepted change is lost or applied twice.
 */
import { parseHead, POLICY_HEAD_KEY } from '../../policy/store.js';
import type { AcceptedChange, DispatchedRequest } from '../observations.js';
import type { SimCluster } from '../sim-cluster.js';
import type { Violation } from './violation.js';

/** Time limit for applying an accepted change everywhere, in milliseconds; documented as 19 s. */
export const POLICY_PROPAGATION_LIMIT_MS = 19_000;

const CHECK_NAME = 'policy-in-force';

/** Checks the generations in use, the dispatches of the backends and the policy store. */
export function checkActivePolicy(cluster: SimCluster): Violation[] {
  return [
    ...findGenerationRegressions(cluster),
    ...findStaleProcesses(cluster),
    ...findForbiddenDispatches(cluster),
    ...findLostOrDuplicateChanges(cluster),
  ];
}

/** Finds decreases of a process's generation, within one incarnation and across restarts. */
function findGenerationRegressions(cluster: SimCluster): Violation[] {
  const highest = new Map<string, number>();
  return cluster.observations.generationChanges.flatMap(({ process, generation, atMs }) => {
    const previous = highest.get(process) ?? 0;
    highest.set(process, Math.max(previous, generation));
    return generation >= previous
      ? []
      : [
          {
            check: CHECK_NAME,
            atMs,
            detail: `generation of ${process} decreased from ${previous} to ${generation}`,
          },
        ];
  });
}

/**
 * Finds processes that did not apply an accepted change within the time limit, although no fault
 * and no graceful shutdown affected them and no fault affected the platform.
 */
function findStaleProcesses(cluster: SimCluster): Violation[] {
  const nowMs = cluster.clock.now();
  return cluster.observations.acceptedChanges.flatMap((change) => {
    const deadlineMs = change.acceptedAtMs + POLICY_PROPAGATION_LIMIT_MS;
    if (deadlineMs > nowMs || hadFault(cluster, 'platform', change.acceptedAtMs, deadlineMs)) {
      return [];
    }
    return [...cluster.agents.values(), ...cluster.entries]
      .filter((process) => wasReachable(cluster, process.machine.name, change, deadlineMs))
      .filter(
        (process) => generationAt(cluster, process.machine.name, deadlineMs) < change.generation,
      )
      .map((process) => ({
        check: CHECK_NAME,
        atMs: deadlineMs,
        detail: `generation ${change.generation} was not applied by ${process.machine.name} within ${POLICY_PROPAGATION_LIMIT_MS} ms`,
      }));
  });
}

/** Returns the highest generation that the process had applied by `atMs`. */
function generationAt(cluster: SimCluster, process: string, atMs: number): number {
  return cluster.observations.generationChanges
    .filter((one) => one.process === process && one.atMs <= atMs)
    .reduce((highest, one) => Math.max(highest, one.generation), 0);
}

/** Whether neither a fault nor a graceful shutdown affected the process up to the deadline. */
function wasReachable(
  cluster: SimCluster,
  process: string,
  change: AcceptedChange,
  deadlineMs: number,
): boolean {
  const { shutdowns } = cluster.observations;
  const wasShuttingDown = shutdowns.some(
    (shutdown) =>
      shutdown.process === process &&
      shutdown.atMs <= deadlineMs &&
      (shutdown.restartedAtMs ?? Number.POSITIVE_INFINITY) >= change.acceptedAtMs,
  );
  return !wasShuttingDown && !hadFault(cluster, process, change.acceptedAtMs, deadlineMs);
}

/** Whether a fault that can lose requests affected `name` at any time between the two times. */
function hadFault(cluster: SimCluster, name: string, fromMs: number, untilMs: number): boolean {
  return cluster.observations.isAffectedByFault([name], fromMs, untilMs);
}

function findForbiddenDispatches(cluster: SimCluster): Violation[] {
  const { dispatches, acceptedChanges } = cluster.observations;
  return dispatches.flatMap((dispatch) => {
    const activeChange = acceptedChanges.find(
      (change) => change.generation === dispatch.generation,
    );
    if (activeChange === undefined || isPermitted(cluster, dispatch, activeChange)) {
      return [];
    }
    const detail = `${dispatch.requestId} (${dispatch.dataClass}) was dispatched to ${dispatch.engine}, which generation ${dispatch.generation} forbids`;
    return [{ check: CHECK_NAME, atMs: dispatch.atMs, detail }];
  });
}

/** Applies the deployment's rules independently of the eligibility code under test. */
function isPermitted(
  cluster: SimCluster,
  dispatch: DispatchedRequest,
  change: AcceptedChange,
): boolean {
  const engine = change.document[`engine.${dispatch.engine}`];
  const isDrained = engine?.kind === 'engine' && engine.labels['state'] === 'drained';
  const permitted = cluster.permittedBackends(dispatch.dataClass).map((backend) => backend.name);
  return !isDrained && permitted.includes(dispatch.engine);
}

/**
 * Compares the accepted changes with the stored head. The head lists recent changes only, so lost
 * changes are reported only while it still lists every change.
 */
function findLostOrDuplicateChanges(cluster: SimCluster): Violation[] {
  const head = parseHead(cluster.platform.model.get(POLICY_HEAD_KEY)?.value);
  const atMs = cluster.clock.now();
  const applyCounts = new Map<string, number>();
  for (const record of head.recent) {
    applyCounts.set(record.changeId, (applyCounts.get(record.changeId) ?? 0) + 1);
  }
  const isHistoryComplete = head.recent.length === head.generation;
  const lost = cluster.observations.acceptedChanges
    .filter(({ changeId }) => isHistoryComplete && !applyCounts.has(changeId))
    .map(({ changeId }) => ({
      check: CHECK_NAME,
      atMs,
      detail: `accepted change ${changeId} is missing from the store`,
    }));
  const duplicated = [...applyCounts]
    .filter(([, count]) => count > 1)
    .map(([changeId, count]) => ({
      check: CHECK_NAME,
      atMs,
      detail: `${changeId} was applied ${count} times`,
    }));
  return [...lost, ...duplicated];
}
