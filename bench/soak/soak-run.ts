/** One soak: callers press, faults strike, and the promises are checked from what callers and back ends saw. */
import { Agent, request } from 'node:http';
import { request as readinessOf } from 'undici';
import { SeededRandom, randomInteger } from '../../src/random.js';
import { expectedAnswer } from './soak-backend.js';
import type { BackendRun } from './soak-backend.js';
import { doFault, restoreStore } from './soak-faults.js';
import { findOutsideHome } from './soak-homes.js';
import { isOwed } from './soak-owed.js';
import { changeRoutes } from './soak-routes.js';
import { findUnheeded, makeStatement } from './soak-statements.js';
import { SOAK_COLD_BOUND, SOAK_KEY, SOAK_TIMEOUT_MS, SoakFleet } from './soak-fleet.js';
import type { SoakEvacuation, SoakSizes } from './soak-fleet.js';

/** What a soak is to do. */
export interface SoakPlan {
  readonly seed: number;
  readonly sizes: SoakSizes;
  readonly callers: number;
  /** Time with faults, in milliseconds. */
  readonly faultsMs: number;
  readonly basePort: number;
  /** Whether back ends say something of themselves. Default true. */
  readonly hasStatements?: boolean;
  /** Whether the store comes back from copies. Default false. */
  readonly hasCopies?: boolean;
}

/** How a soak ended. */
export interface SoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly faults: readonly string[];
  readonly violations: readonly string[];
  /** Where the logs of its processes are. */
  readonly folder: string;
}

type Kind = 'safe' | 'unsafe' | 'stream' | 'home' | 'moved';

/** One request as its caller saw it. */
export interface SeenRequest {
  readonly id: string;
  readonly kind: Kind;
  readonly gateway: number;
  readonly sentAtMs: number;
  endedAtMs: number;
  /** 0 when no whole answer came. */
  status: number;
  body: string;
}

/** Pause between two statements of back ends, in milliseconds. */
const STATEMENT_PAUSE_MS = 2_500;
/** Pause between two returns of the store from a copy, in milliseconds. */
const COPY_PAUSE_MS = 3_500;
const RECOVERY_MS = 4_500;
const CALM_MS = 1_500;
const CALM_SHARE = 0.95;
const LATE_MS = 700;
/** Time after the announcement of a leave in which requests may still arrive, in milliseconds. */
const DRAIN_BOUND_MS = 2_200;
/** Time after an evacuation in which requests may still arrive, in milliseconds. */
const EVACUATION_BOUND_MS = 2_200;
/** A second, less what this process may be late to see a request in, in milliseconds. */
const COLD_WINDOW_MS = 950;
const PROMISE_STATUSES = new Set([408, 421, 429, 503]);

/** Lets the store come back from copies, beside the faults. */
function restoreAgain(fleet: SoakFleet, seed: number, faults: string[]) {
  const random = new SeededRandom(seed + 5);
  return setInterval(() => faults.push(restoreStore(fleet, random)), COPY_PAUSE_MS);
}

/** Runs one soak. */
export async function runSoak(plan: SoakPlan): Promise<SoakReport> {
  const random = new SeededRandom(plan.seed);
  const runs: BackendRun[] = [];
  const seen: SeenRequest[] = [];
  const late: string[] = [];
  const faults: string[] = [];
  const fleet = new SoakFleet(plan.sizes, plan.basePort, new SeededRandom(plan.seed + 1), (run) => {
    runs.push(run);
    const gateway = fleet.gateways[gatewayOf(run.requestId, plan.sizes.gateways)]!;
    late.push(...findInEvacuated(run, fleet.evacuations, gateway.disturbedUntilMs));
  });
  fleet.store.epoch = plan.hasCopies === true ? 1 : undefined;
  await fleet.start();
  await waitUntilReady(fleet, plan.sizes.gateways);
  const stopAtMs = performance.now() + plan.faultsMs + RECOVERY_MS + CALM_MS;
  const callers = Array.from({ length: plan.callers }, (_none, index) =>
    press(fleet, index, plan.sizes.gateways, stopAtMs, seen, late),
  );
  const endRoutes = changeRoutes(fleet, (violations) => late.push(...violations));
  const faultsEndAtMs = performance.now() + plan.faultsMs;
  const statements =
    plan.hasStatements === false ? undefined : makeStatements(fleet, plan.seed, faults);
  const copies = plan.hasCopies === true ? restoreAgain(fleet, plan.seed, faults) : undefined;
  while (performance.now() < faultsEndAtMs) {
    await sleepMs(randomInteger(random, 100, 700));
    faults.push(doFault(fleet, random));
  }
  clearInterval(statements);
  clearInterval(copies);
  await Promise.all(callers);
  endRoutes();
  fleet.stop();
  const calmFromMs = stopAtMs - CALM_MS;
  const isCalmSince = (requestId: string, sinceMs: number) =>
    fleet.gateways[gatewayOf(requestId, plan.sizes.gateways)]!.disturbedUntilMs < sinceMs;
  const violations = [
    ...late,
    ...findViolations(seen, runs, calmFromMs, (one) =>
      isOwed(one, fleet.homeChanges, fleet.evacuations),
    ),
    ...findLateForLeaving(runs, fleet.drainedAtMs, isCalmSince),
    ...findOutsideHome(runs, fleet.homeChanges, (id) => fleet.regionOfBackend(id), isCalmSince),
    ...findRushes(runs),
    ...findUnheededStatements(fleet, seen, plan.sizes.gateways, isCalmSince),
  ];
  const answered = seen.filter(({ status }) => status === 200).length;
  const { folder } = fleet;
  return { seed: plan.seed, requests: seen.length, answered, faults, violations, folder };
}

/** Statements come by a draw of their own, so that the faults of a seed stay the same. */
function makeStatements(fleet: SoakFleet, seed: number, faults: string[]): NodeJS.Timeout {
  const random = new SeededRandom(seed + 2);
  return setInterval(() => faults.push(makeStatement(fleet, random)), STATEMENT_PAUSE_MS);
}

function findUnheededStatements(
  fleet: SoakFleet,
  seen: readonly SeenRequest[],
  gateways: number,
  isCalmSince: (requestId: string, sinceMs: number) => boolean,
): string[] {
  const sentAtMs = new Map(seen.map((one) => [one.id, one.sentAtMs]));
  const ports = {
    gatewayOf: (requestId: string) => gatewayOf(requestId, gateways),
    sentAtMs: (requestId: string) => sentAtMs.get(requestId) ?? -Infinity,
    isCalmSince,
  };
  return fleet.backends.flatMap(({ statementRecords }) =>
    [...statementRecords].flatMap(([life, record]) => findUnheeded(life, record, ports)),
  );
}

async function waitUntilReady(fleet: SoakFleet, gateways: number): Promise<void> {
  for (let index = 0; index < gateways; index += 1) {
    for (;;) {
      const answer = await readinessOf(fleet.readinessUrl(index)).catch(() => undefined);
      await answer?.body.dump();
      if (answer?.statusCode === 200) {
        break;
      }
      await sleepMs(50);
    }
  }
}

/** One caller: keeps its connection as long as it lasts and sends one request after the other. */
async function press(
  fleet: SoakFleet,
  caller: number,
  gateways: number,
  stopAtMs: number,
  seen: SeenRequest[],
  late: string[],
): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const kinds: readonly Kind[] = ['safe', 'unsafe', 'stream', 'home', 'moved'];
  const gateway = caller % gateways;
  for (let number = 0; performance.now() < stopAtMs; number += 1) {
    const kind = kinds[(caller + number) % kinds.length]!;
    const one = await send(fleet, agent, `c${caller}-${number}`, kind, gateway);
    seen.push(one);
    late.push(...findHeld(one, fleet.gateways[gateway]!.disturbedUntilMs));
    await sleepMs(one.status === 0 ? 100 : 20);
  }
  agent.destroy();
}

function send(
  fleet: SoakFleet,
  agent: Agent,
  id: string,
  kind: Kind,
  gateway: number,
): Promise<SeenRequest> {
  const sentAtMs = performance.now();
  const one: SeenRequest = { id, kind, gateway, sentAtMs, endedAtMs: 0, status: 0, body: '' };
  return new Promise((resolve) => {
    const end = (status: number) => {
      if (one.endedAtMs === 0) {
        one.endedAtMs = performance.now();
        one.status = status;
        resolve(one);
      }
    };
    const call = request({
      ...fleet.callersAddress(gateway),
      agent,
      method: 'POST',
      path: `/${kind}/${id}`,
      headers: {
        Host: 'soak.example',
        Authorization: `Bearer ${SOAK_KEY}`,
        'X-Weirvale-Attempt-Id': id,
        'X-Weirvale-Deadline-Ms': SOAK_TIMEOUT_MS,
        'X-Weirvale-Token-Counts': '100,24',
      },
    });
    call.setTimeout(SOAK_TIMEOUT_MS * 2, () => call.destroy());
    call.on('error', () => end(0));
    call.on('response', (response) => {
      response.on('data', (bytes: Buffer) => (one.body += bytes.toString()));
      response.on('end', () => end(response.complete ? (response.statusCode ?? 0) : 0));
      response.on('error', () => end(0));
      response.on('close', () => end(0));
    });
    call.end('body');
  });
}

/** A request that a gateway, which no fault touched since it was sent, held beyond its time. */
export function findHeld(one: SeenRequest, disturbedUntilMs: number): string[] {
  const heldMs = one.endedAtMs - one.sentAtMs;
  const isLate = heldMs > SOAK_TIMEOUT_MS + LATE_MS && disturbedUntilMs <= one.sentAtMs;
  return isLate
    ? [`${one.id} (${one.kind}) was held for ${Math.round(heldMs)} ms by an untouched gateway`]
    : [];
}

/** The gateway that a caller presses, by the id of one of its requests. */
function gatewayOf(requestId: string, gateways: number): number {
  return Number(/^c(\d+)-/.exec(requestId)![1]) % gateways;
}

/** Requests that a back end was given later than the bound after it announced that it leaves. */
export function findLateForLeaving(
  runs: readonly BackendRun[],
  drainedAtMs: ReadonlyMap<string, number>,
  isCalmSince: (requestId: string, sinceMs: number) => boolean,
): string[] {
  return runs.flatMap(({ requestId, backendId, atMs }) => {
    const drained = drainedAtMs.get(backendId);
    const isLate = drained !== undefined && atMs > drained + DRAIN_BOUND_MS;
    return isLate && isCalmSince(requestId, drained)
      ? [
          `${requestId} ran at ${backendId} ${Math.round(atMs - drained)} ms after it said it leaves`,
        ]
      : [];
  });
}

/**
 * A run in a zone later than the bound after its evacuation. Looked for while the soak runs: what a fault
 * did to the gateway before has to be over by then, and later faults say nothing of it.
 */
export function findInEvacuated(
  { requestId, backendId, atMs }: BackendRun,
  evacuations: readonly SoakEvacuation[],
  disturbedUntilMs: number,
): string[] {
  return evacuations
    .filter(({ index, fromMs, untilMs }) => {
      // Incarnations at one address have longer and longer ids.
      const isThere = backendId.replaceAll('x', '') === `e-${index}`;
      const sinceMs = Math.max(fromMs + EVACUATION_BOUND_MS, disturbedUntilMs);
      return isThere && atMs > sinceMs && atMs < untilMs;
    })
    .map(
      ({ fromMs }) =>
        `${requestId} ran at ${backendId} ${Math.round(atMs - fromMs)} ms after its zone was evacuated`,
    );
}

/** Cold back ends that were sent more than the bound in one second. */
export function findRushes(runs: readonly BackendRun[]): string[] {
  const byBackend = new Map<string, number[]>();
  for (const { backendId, atMs, countsAsColdStart } of runs) {
    if (countsAsColdStart) {
      byBackend.set(backendId, [...(byBackend.get(backendId) ?? []), atMs]);
    }
  }
  return [...byBackend].flatMap(([backendId, times]) => {
    const most = Math.max(...times.map((atMs) => countFrom(times, atMs)));
    return most > SOAK_COLD_BOUND
      ? [`${backendId} got ${most} requests in a second while cold`]
      : [];
  });
}

function countFrom(times: readonly number[], fromMs: number): number {
  return times.filter((atMs) => atMs >= fromMs && atMs < fromMs + COLD_WINDOW_MS).length;
}

/** The promises that were broken, from what callers and back ends saw. */
export function findViolations(
  seen: readonly SeenRequest[],
  runs: readonly BackendRun[],
  calmFromMs: number,
  mayBeServed: (request: SeenRequest) => boolean = () => true,
): string[] {
  const runsById = new Map<string, BackendRun[]>();
  for (const run of runs) {
    runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
  }
  const violations: string[] = [];
  for (const one of seen) {
    violations.push(...checkRequest(one, runsById.get(one.id) ?? []));
  }
  const calm = seen.filter((one) => one.sentAtMs >= calmFromMs && mayBeServed(one));
  const well = calm.filter(({ status }) => status === 200).length;
  if (calm.length === 0 || well / calm.length < CALM_SHARE) {
    violations.push(`after the faults only ${well} of ${calm.length} requests were served`);
  }
  return violations;
}

function checkRequest(one: SeenRequest, runs: readonly BackendRun[]): string[] {
  const violations: string[] = [];
  if (one.kind === 'unsafe' && runs.length > 1) {
    violations.push(`${one.id} may not be repeated and ran ${runs.length} times`);
  }
  if (one.kind === 'unsafe' && PROMISE_STATUSES.has(one.status) && runs.length > 0) {
    violations.push(`${one.id} was told ${one.status} and ran`);
  }
  if (one.status === 200 && one.body !== expectedAnswer(one.id, one.kind === 'stream')) {
    violations.push(`${one.id} was given an answer as whole that is not its own or not whole`);
  }
  if (runs.some(({ tenant }) => tenant !== 'shop')) {
    violations.push(`${one.id} ran under another tenant`);
  }
  return violations;
}

function sleepMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
