/**
 * Check: when a request is shed, no permitted engine that could have served it in
 * time goes on serving a lower tier in its place.
 */
import type { World } from '../world.js';
import type { CallerAttempt, ShedSnapshot } from '../observations.js';
import type { BackendProfile } from '../deployment.js';
import type { Violation } from './violation.js';

/** An engine counts only if the request would have fitted with this margin. */
const FIT_FACTOR = 2;
const FIT_MARGIN_MS = 1_500;
/** Faults touch the choice for as long as it takes to notice them. */
const FAULT_REACH_MS = 10_000;

/** Looks at sheds and at what ran on the engines then. */
export function checkTierOrder(world: World): Violation[] {
  return world.observations.sheds.flatMap((shed) => findBreaches(world, shed));
}

function findBreaches(world: World, shed: ShedSnapshot): Violation[] {
  const { observations } = world;
  return shed.stillRunning.flatMap((running) => {
    const profile = world.deployment.backends.find((one) => one.name === running.engine)!;
    const names = [running.engine, shed.attempt.entry];
    const isBreach =
      fitsOn(profile, shed.attempt) &&
      !observations.isDisturbed(names, shed.atMs - FAULT_REACH_MS, shed.atMs) &&
      isInService(world, running.engine, shed);
    if (!isBreach) {
      return [];
    }
    const { attempt } = shed;
    const detail = `tier ${attempt.tier} (${attempt.requestId}) was shed as ${attempt.refusal?.reason ?? ''} while ${running.engine} ran ${running.requestId} of tier ${running.tier}`;
    return [{ check: 'tier-order', atMs: shed.atMs, detail }];
  });
}

/** Whether the engine, had it taken the request when it came, would have finished it in time. */
function fitsOn(profile: BackendProfile, attempt: CallerAttempt): boolean {
  if (profile.engine === undefined) {
    return true;
  }
  const { prefillTokensPerMs, stepMs } = profile.engine;
  const outputTokens = attempt.expectedAnswer.split(' ').length;
  const serviceMs = attempt.promptTokens / prefillTokensPerMs + outputTokens * stepMs;
  return serviceMs * FIT_FACTOR + FIT_MARGIN_MS <= attempt.deadlineAtMs - attempt.sentAtMs;
}

/** An engine that was drained, was leaving or had just come back is no alternative. */
function isInService(world: World, engine: string, shed: ShedSnapshot): boolean {
  const { leaves, acceptedChanges } = world.observations;
  const isLeaving = leaves.some(
    (leave) =>
      leave.process === engine &&
      leave.atMs <= shed.atMs &&
      (leave.restartedAtMs ?? Number.POSITIVE_INFINITY) > shed.atMs - FAULT_REACH_MS,
  );
  const wasRelabelled = acceptedChanges.some(
    (change) =>
      change.entries.length === 1 &&
      change.entries[0] === `engine.${engine}` &&
      change.acceptedAtMs <= shed.atMs,
  );
  return !isLeaving && !wasRelabelled;
}
