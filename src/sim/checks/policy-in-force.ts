/**
 * Check: an accepted change is in force in every reachable place within the bound;
 * a generation never goes down; no request starts where the policy in force
 * forbids; no accepted change is lost and none is applied twice.
 */
import { parseHead, POLICY_HEAD_KEY } from '../../policy/store.js';
import type { AcceptedChange, HandedRequest } from '../observations.js';
import type { World } from '../world.js';
import type { Violation } from './violation.js';

/** Time until an accepted change is in force everywhere, in milliseconds; the users' bound is 19 s. */
export const POLICY_BOUND_MS = 19_000;

const CHECK = 'policy-in-force';

/** Looks at generations, at the back ends' accounts and at the platform's store. */
export function checkPolicyInForce(world: World): Violation[] {
  return [
    ...findReverts(world),
    ...findLateProcesses(world),
    ...findForbiddenStarts(world),
    ...findLostChanges(world),
  ];
}

/** A place never goes back: not within one start of a process, and not across its restarts. */
function findReverts(world: World): Violation[] {
  const highest = new Map<string, number>();
  return world.observations.generations.flatMap(({ process, generation, atMs }) => {
    const before = highest.get(process) ?? 0;
    highest.set(process, Math.max(before, generation));
    return generation >= before
      ? []
      : [
          {
            check: CHECK,
            atMs,
            detail: `${process} went from generation ${before} to ${generation}`,
          },
        ];
  });
}

function findLateProcesses(world: World): Violation[] {
  const nowMs = world.clock.now();
  return world.observations.acceptedChanges.flatMap((change) => {
    const dueMs = change.acceptedAtMs + POLICY_BOUND_MS;
    if (dueMs > nowMs || isDisturbedFor(world, 'platform', change.acceptedAtMs, dueMs)) {
      return [];
    }
    return [...world.agents.values(), ...world.entries]
      .filter((process) => wasReachable(world, process.machine.name, change, dueMs))
      .filter((process) => generationAt(world, process.machine.name, dueMs) < change.generation)
      .map((process) => ({
        check: CHECK,
        atMs: dueMs,
        detail: `generation ${change.generation} is not in force on ${process.machine.name} after ${POLICY_BOUND_MS} ms`,
      }));
  });
}

function generationAt(world: World, process: string, atMs: number): number {
  return world.observations.generations
    .filter((one) => one.process === process && one.atMs <= atMs)
    .reduce((highest, one) => Math.max(highest, one.generation), 0);
}

function wasReachable(
  world: World,
  process: string,
  change: AcceptedChange,
  dueMs: number,
): boolean {
  const { leaves } = world.observations;
  const isLeaving = leaves.some(
    (leave) =>
      leave.process === process &&
      leave.atMs <= dueMs &&
      (leave.restartedAtMs ?? Number.POSITIVE_INFINITY) >= change.acceptedAtMs,
  );
  return !isLeaving && !isDisturbedFor(world, process, change.acceptedAtMs, dueMs);
}

/** Whether a fault touched `name` for any part of the time in which the change had to spread. */
function isDisturbedFor(world: World, name: string, fromMs: number, untilMs: number): boolean {
  return world.observations.isDisturbed([name], fromMs, untilMs);
}

function findForbiddenStarts(world: World): Violation[] {
  const { handed, acceptedChanges } = world.observations;
  return handed.flatMap((one) => {
    const inForce = acceptedChanges.find((change) => change.generation === one.generation);
    if (inForce === undefined || isPermitted(world, one, inForce)) {
      return [];
    }
    const detail = `${one.requestId} (${one.dataClass}) started on ${one.engine}, which generation ${one.generation} forbids`;
    return [{ check: CHECK, atMs: one.atMs, detail }];
  });
}

/** The rules of the deployment, read without the code that decides eligibility. */
function isPermitted(world: World, handed: HandedRequest, change: AcceptedChange): boolean {
  const engine = change.document[`engine.${handed.engine}`];
  const isDrained = engine?.kind === 'engine' && engine.labels['state'] === 'drained';
  const permitted = world.permittedBackends(handed.dataClass).map((backend) => backend.name);
  return !isDrained && permitted.includes(handed.engine);
}

function findLostChanges(world: World): Violation[] {
  const head = parseHead(world.platform.model.get(POLICY_HEAD_KEY)?.value);
  const atMs = world.clock.now();
  const times = new Map<string, number>();
  for (const record of head.recent) {
    times.set(record.changeId, (times.get(record.changeId) ?? 0) + 1);
  }
  const isWholeHistory = head.recent.length === head.generation;
  const lost = world.observations.acceptedChanges
    .filter(({ changeId }) => isWholeHistory && !times.has(changeId))
    .map(({ changeId }) => ({
      check: CHECK,
      atMs,
      detail: `${changeId} was accepted and is lost`,
    }));
  const doubled = [...times]
    .filter(([, count]) => count > 1)
    .map(([changeId, count]) => ({
      check: CHECK,
      atMs,
      detail: `${changeId} was applied ${count} times`,
    }));
  return [...lost, ...doubled];
}
