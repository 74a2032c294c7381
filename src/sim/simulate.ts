/**
 * Runs one simulation: a deployment under load and scheduled faults, and every check at the end.
 */
import * as fc from 'fast-check';
import { checkDispatchedOnce } from './checks/dispatched-once.js';
import { checkGracefulShutdown } from './checks/graceful-shutdown.js';
import { checkActivePolicy } from './checks/active-policy.js';
import { checkTierOrder } from './checks/tier-order.js';
import { checkRefusedNotRun } from './checks/refused-not-run.js';
import type { Violation } from './checks/violation.js';
import { checkCompleteResponse } from './checks/complete-response.js';
import { faultScheduleArbitrary } from './fault.js';
import type { Fault, FaultKind } from './fault.js';
import { scheduleFaults } from './inject-fault.js';
import type { CallerAttempt } from './observations.js';
import { SimCluster } from './sim-cluster.js';
import type { SimClusterOptions } from './sim-cluster.js';

/** Options of a simulation. */
export interface SimulationOptions extends SimClusterOptions {
  /** How long callers send requests, in milliseconds of virtual time. */
  readonly durationMs: number;
  readonly faults: readonly Fault[];
}

/** Result of a simulation. */
export interface SimulationResult {
  readonly violations: readonly Violation[];
  /** Digest of the event log; equal for two runs with the same options. */
  readonly digest: string;
  readonly virtualMs: number;
  readonly attempts: readonly CallerAttempt[];
  readonly dispatchCount: number;
  /** Prompt tokens that the engines prefilled. */
  readonly prefilledTokens: number;
  /** Those of them whose request was cancelled before completion. */
  readonly wastedPrefillTokens: number;
}

/**
 * How long the simulation continues after the load stops so that open requests can complete, in
 * milliseconds.
 */
const DRAIN_MS = 30_000;

/** Runs a simulation, including the drain period, and checks its observations. */
export async function simulate(options: SimulationOptions): Promise<SimulationResult> {
  const cluster = new SimCluster(options);
  await cluster.start();
  scheduleFaults(cluster, options.faults);
  cluster.callers.start();
  await cluster.clock.runUntil(cluster.clock.now() + options.durationMs);
  cluster.callers.stop();
  await cluster.clock.runUntil(cluster.clock.now() + DRAIN_MS);
  return summarizeRun(cluster);
}

/** Returns the fault schedule that `seed` determines. */
export function sampleFaultSchedule(
  seed: number,
  kinds: readonly FaultKind[],
  durationMs: number,
  maxFaults: number,
): Fault[] {
  const [schedule] = fc.sample(faultScheduleArbitrary(kinds, durationMs, maxFaults), {
    seed,
    numRuns: 1,
  });
  return schedule ?? [];
}

/** Runs every check on a finished simulation. */
export function findViolations(cluster: SimCluster): Violation[] {
  const { observations } = cluster;
  return [
    ...checkDispatchedOnce(observations),
    ...checkRefusedNotRun(observations),
    ...checkCompleteResponse(cluster),
    ...checkTierOrder(cluster),
    ...checkGracefulShutdown(observations),
    ...checkActivePolicy(cluster),
  ].sort((left, right) => left.atMs - right.atMs);
}

function summarizeRun(cluster: SimCluster): SimulationResult {
  const engines = [...cluster.backends.values()].map((backend) => backend.engine);
  const sumOverEngines = (pick: 'prefilledTokens' | 'wastedPrefillTokens') =>
    engines.reduce((total, engine) => total + (engine?.[pick] ?? 0), 0);
  return {
    violations: findViolations(cluster),
    digest: cluster.observations.digest(),
    virtualMs: cluster.clock.now(),
    attempts: cluster.observations.attempts,
    dispatchCount: cluster.observations.dispatches.length,
    prefilledTokens: sumOverEngines('prefilledTokens'),
    wastedPrefillTokens: sumOverEngines('wastedPrefillTokens'),
  };
}
