/**
 * Check: whoever got an answer got the whole answer to its own request; every
 * request ends; none is lost unless a fault that can lose it touched its path;
 * a refusal comes at once and is not held to the deadline.
 */
import type { CallerAttempt, Observations } from '../observations.js';
import type { World } from '../world.js';
import type { Violation } from './violation.js';

/** Longest time that a request may go on past its deadline without an ending, in milliseconds. */
const LONGEST_OVERRUN_MS = 45_000;
/** Faults reach into requests for as long as it takes to notice them. */
const FAULT_REACH_MS = 16_000;

/** Looks at what callers got. */
export function checkWholeAnswer(world: World): Violation[] {
  const { observations } = world;
  const nowMs = world.clock.now();
  return observations.attempts.flatMap((attempt) =>
    findFault(observations, attempt, findEngines(world, attempt), nowMs),
  );
}

/** The engine that was handed the request; if none was, every one that may have been on its way. */
function findEngines(world: World, attempt: CallerAttempt): readonly string[] {
  const handed = world.observations.findHanded(attempt.requestId ?? '');
  return handed === undefined
    ? world.permittedBackends(attempt.dataClass).map((backend) => backend.name)
    : [handed.engine];
}

function findFault(
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
    return attempt.answer === attempt.expectedAnswer
      ? []
      : violation('got an answer that is not whole or not its own');
  }
  const isCut = attempt.answer !== '' && !attempt.expectedAnswer.startsWith(attempt.answer);
  if (isCut) {
    return violation('got parts of an answer that is not its own');
  }
  if (attempt.outcome === 'pending') {
    const isOverdue = nowMs > attempt.deadlineAtMs + LONGEST_OVERRUN_MS;
    const isAllowed = isDisturbed(observations, attempt, engines, nowMs);
    return isOverdue && !isAllowed ? violation('never ended') : [];
  }
  const mayHaveRun = attempt.outcome === 'connection-lost' || attempt.refusal?.ran === 'unknown';
  const isExempt =
    attempt.refusal?.reason === 'preempted' || attempt.refusal?.reason === 'duplicate-request';
  const wasTaken = attempt.requestId !== undefined;
  if (mayHaveRun && wasTaken && !isExempt && !isDisturbed(observations, attempt, engines, nowMs)) {
    return violation(`was lost without cause: ${attempt.refusal?.detail ?? attempt.outcome}`);
  }
  return [];
}

function isDisturbed(
  observations: Observations,
  attempt: CallerAttempt,
  engines: readonly string[],
  nowMs: number,
): boolean {
  const names = [attempt.entry, ...engines];
  const fromMs = attempt.sentAtMs - FAULT_REACH_MS;
  return observations.isDisturbed(names, fromMs, attempt.endedAtMs ?? nowMs);
}
