/**
 * A soak test: callers send requests while faults are injected, and the guarantees are checked from
 * the observations of callers and backends.
 */
import { Agent, request } from 'node:http';
import { request as readinessOf } from 'undici';
import { SeededRandom, randomInteger } from '../../src/random.js';
import { expectedResponse } from './soak-backend.js';
import type { Execution } from './soak-backend.js';
import { injectMalformedInput } from './soak-malformed.js';
import { injectFault, restoreStoreFromBackup } from './soak-faults.js';
import { startPairs } from './soak-pair-faults.js';
import type { InjectedFault } from './soak-pairs.js';
import { findUnanswered } from './soak-answers.js';
import { startSilences } from './soak-silences.js';
import { findOutsideRegions } from './soak-regions.js';
import { isServable } from './soak-servable.js';
import { startRouteChanges } from './soak-routes.js';
import { findBrokenStreams, isStreamKind, resumptionOf } from './soak-streams.js';
import type { ResumedStream } from './soak-streams.js';
import { findIgnoredStatements, startStatement } from './soak-statements.js';
import { SOAK_MAX_COLD_STARTS, SOAK_API_KEY, SoakFleet, soakTimeoutMs } from './soak-fleet.js';
import type { SoakEvacuation, SoakSizes } from './soak-fleet.js';

/** Options of a soak test. */
export interface SoakOptions {
  readonly seed: number;
  readonly sizes: SoakSizes;
  readonly callers: number;
  /** Duration of the faults, in milliseconds. */
  readonly faultsMs: number;
  readonly basePort: number;
  /** Whether backends send statements (limits, draining, backoff). Default true. */
  readonly sendsStatements?: boolean;
  /** Whether sound backends fall silent for a while. Default true. */
  readonly silencesBackends?: boolean;
  /** Whether pairs of faults are injected at once. Default true. */
  readonly injectsPairs?: boolean;
  /** Whether the store is restored from backups. Default false. */
  readonly restoresBackups?: boolean;
  /** Whether backends and the store send malformed input. Default false. */
  readonly sendsMalformed?: boolean;
}

/** Results of a soak test. */
export interface SoakReport {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly faults: readonly InjectedFault[];
  readonly violations: readonly string[];
  /** Folder that contains the processes' logs. */
  readonly folder: string;
}

type RouteKind = 'safe' | 'unsafe' | 'stream' | 'long' | 'home' | 'moved';

/** A request and its response as the caller observed them. */
export interface ObservedRequest {
  readonly id: string;
  readonly kind: RouteKind;
  readonly gateway: number;
  readonly sentAtMs: number;
  endedAtMs: number;
  /** HTTP status; 0 without a complete response. */
  status: number;
  body: string;
  /** Whether the head of a response arrived. */
  hasHead?: boolean;
  /** Whether the gateway's host refused the connection, so that no process received the request. */
  isConnectionRefused?: boolean;
  /** The stream that it resumes; missing for a new request. */
  readonly resumes?: ResumedStream;
}

/** Interval between statements of backends, in milliseconds. */
const STATEMENT_INTERVAL_MS = 2_500;
/** Interval between restores of the store, in milliseconds. */
const RESTORE_INTERVAL_MS = 3_500;
/** Interval between injections of malformed input, in milliseconds. */
const MALFORMED_INTERVAL_MS = 700;
const RECOVERY_MS = 4_500;
const FAULT_FREE_MS = 1_500;
const MIN_FAULT_FREE_SUCCESS = 0.95;
const OVERDUE_TOLERANCE_MS = 700;
/** Time after a backend announces draining in which requests may still arrive, in milliseconds. */
const DRAIN_BOUND_MS = 2_200;
/** Time after an evacuation in which requests may still arrive, in milliseconds. */
const EVACUATION_BOUND_MS = 2_200;
/** One second minus the delay with which this process may observe a request, in milliseconds. */
const COLD_WINDOW_MS = 950;
/** Requests by which a caller tries to resume a broken stream. */
const MAX_RESUMPTIONS = 2;
const NOT_EXECUTED_STATUSES = new Set([408, 421, 429, 503]);

/** Restores the store from backups periodically, in parallel to the faults. */
function startRestores(fleet: SoakFleet, seed: number, faults: InjectedFault[]) {
  const random = new SeededRandom(seed + 5);
  const restore = () => faults.push(restoreStoreFromBackup(fleet, random));
  return setInterval(restore, RESTORE_INTERVAL_MS);
}

/** Sends malformed input in parallel to the faults. */
function startMalformedInput(fleet: SoakFleet, seed: number, faults: InjectedFault[]) {
  const random = new SeededRandom(seed + 7);
  const inject = () =>
    faults.push({
      kind: 'malformedInput',
      description: injectMalformedInput(fleet, random),
      atMs: performance.now(),
      durationMs: MALFORMED_INTERVAL_MS,
    });
  return setInterval(inject, MALFORMED_INTERVAL_MS);
}

/** Runs one soak test. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const random = new SeededRandom(options.seed);
  const executions: Execution[] = [];
  const observed: ObservedRequest[] = [];
  const lateViolations: string[] = [];
  const faults: InjectedFault[] = [];
  const fleet = new SoakFleet(
    options.sizes,
    options.basePort,
    new SeededRandom(options.seed + 1),
    (execution) => {
      executions.push(execution);
      const gateway = fleet.gateways[gatewayOf(execution.requestId, options.sizes.gateways)]!;
      lateViolations.push(
        ...findSentToEvacuated(execution, fleet.evacuations, gateway.disruptedUntilMs),
      );
    },
  );
  fleet.store.epoch = options.restoresBackups === true ? 1 : undefined;
  await fleet.start();
  await waitUntilReady(fleet, options.sizes.gateways);
  const stopAtMs = performance.now() + options.faultsMs + RECOVERY_MS + FAULT_FREE_MS;
  const callers = Array.from({ length: options.callers }, (_none, index) =>
    runCaller(fleet, index, options.sizes.gateways, stopAtMs, observed, lateViolations),
  );
  const stopRouteChanges = startRouteChanges(fleet, (violations) =>
    lateViolations.push(...violations),
  );
  const faultsEndAtMs = performance.now() + options.faultsMs;
  const statementTimer =
    options.sendsStatements === false ? undefined : startStatements(fleet, options.seed, faults);
  const restoreTimer =
    options.restoresBackups === true ? startRestores(fleet, options.seed, faults) : undefined;
  const malformedTimer =
    options.sendsMalformed === true ? startMalformedInput(fleet, options.seed, faults) : undefined;
  const stopSilences =
    options.silencesBackends === false
      ? () => undefined
      : startSilences(fleet, options.seed, faults);
  const stopPairs =
    options.injectsPairs === false ? () => undefined : startPairs(fleet, options, faults);
  while (performance.now() < faultsEndAtMs) {
    await sleepMs(randomInteger(random, 100, 700));
    faults.push(injectFault(fleet, random));
  }
  stopSilences();
  stopPairs();
  clearInterval(statementTimer);
  clearInterval(restoreTimer);
  clearInterval(malformedTimer);
  await Promise.all(callers);
  stopRouteChanges();
  fleet.stop();
  const faultFreeFromMs = stopAtMs - FAULT_FREE_MS;
  const isUndisruptedSince = (requestId: string, sinceMs: number) =>
    fleet.gateways[gatewayOf(requestId, options.sizes.gateways)]!.disruptedUntilMs < sinceMs;
  const spoilt = new Set(fleet.backends.flatMap((backend) => [...backend.spoiltRequests]));
  const violations = [
    ...lateViolations,
    ...fleet.ownEnds,
    ...findViolations(withoutSpoilt(observed, spoilt), executions, faultFreeFromMs, (sent) =>
      isServable(sent, fleet.regionChanges, fleet.evacuations),
    ),
    ...findSentToDraining(executions, fleet.drainingSinceMs, isUndisruptedSince),
    ...findOutsideRegions(
      executions,
      fleet.regionChanges,
      (id) => fleet.regionOfBackend(id),
      isUndisruptedSince,
    ),
    ...findColdOverloads(executions),
    ...findUnansweredInFleet(fleet, observed, executions),
    ...findIgnoredInFleet(fleet, observed, options.sizes.gateways, isUndisruptedSince),
  ];
  const answered = observed.filter(({ status }) => status === 200).length;
  const { folder } = fleet;
  return { seed: options.seed, requests: observed.length, answered, faults, violations, folder };
}

/**
 * Omits the successful responses to requests whose response a backend spoilt: the gateway cannot
 * tell a changed letter of a body from the right one.
 */
function withoutSpoilt(
  observed: readonly ObservedRequest[],
  spoilt: ReadonlySet<string>,
): ObservedRequest[] {
  return observed.filter(({ id, status }) => status !== 200 || !spoilt.has(id));
}

/** Uses a random source of its own, so that statements don't change the faults of a seed. */
function startStatements(fleet: SoakFleet, seed: number, faults: InjectedFault[]): NodeJS.Timeout {
  const random = new SeededRandom(seed + 2);
  const start = () =>
    faults.push({
      kind: 'makeStatement',
      description: startStatement(fleet, random),
      atMs: performance.now(),
      durationMs: STATEMENT_INTERVAL_MS,
    });
  return setInterval(start, STATEMENT_INTERVAL_MS);
}

function findUnansweredInFleet(
  fleet: SoakFleet,
  observed: readonly ObservedRequest[],
  executions: readonly Execution[],
): string[] {
  return findUnanswered(observed, {
    executionsOf: (id) => executions.filter(({ requestId }) => requestId === id),
    endsOf: (gateway) => fleet.gateways[gateway]!.ends,
    breaks: fleet.breaks,
    silences: fleet.silences,
  });
}

function findIgnoredInFleet(
  fleet: SoakFleet,
  observed: readonly ObservedRequest[],
  gateways: number,
  isUndisruptedSince: (requestId: string, sinceMs: number) => boolean,
): string[] {
  const sentAtMs = new Map(observed.map((sent) => [sent.id, sent.sentAtMs]));
  const context = {
    gatewayOf: (requestId: string) => gatewayOf(requestId, gateways),
    sentAtMs: (requestId: string) => sentAtMs.get(requestId) ?? -Infinity,
    isUndisruptedSince,
  };
  return fleet.backends.flatMap(({ statementLogs }) =>
    [...statementLogs].flatMap(([incarnation, log]) =>
      findIgnoredStatements(incarnation, log, context),
    ),
  );
}

async function waitUntilReady(fleet: SoakFleet, gateways: number): Promise<void> {
  for (let index = 0; index < gateways; index += 1) {
    for (;;) {
      const response = await readinessOf(fleet.readinessUrl(index)).catch(() => undefined);
      await response?.body.dump();
      if (response?.statusCode === 200) {
        break;
      }
      await sleepMs(50);
    }
  }
}

/** Simulates a caller that sends sequential requests over one persistent connection. */
async function runCaller(
  fleet: SoakFleet,
  caller: number,
  gateways: number,
  stopAtMs: number,
  observed: ObservedRequest[],
  violations: string[],
): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const kinds: readonly RouteKind[] = ['safe', 'unsafe', 'stream', 'home', 'moved', 'long'];
  const gateway = caller % gateways;
  // Long streams meet silences, which end with the faults; later they would only take slots.
  const longUntilMs = stopAtMs - FAULT_FREE_MS - RECOVERY_MS;
  for (let number = 0; performance.now() < stopAtMs; number += 1) {
    const next = kinds[(caller + number) % kinds.length]!;
    const kind = next === 'long' && performance.now() > longUntilMs ? 'stream' : next;
    const sent = await send(fleet, agent, `c${caller}-${number}`, kind, gateway);
    observed.push(sent);
    violations.push(...findOverdue(sent, fleet.gateways[gateway]!.disruptedUntilMs));
    await resumeStream(fleet, sent, gateways, observed);
    await sleepMs(sent.status === 0 ? 100 : 20);
  }
  agent.destroy();
}

/** Resumes a stream that broke off, at the next gateways in turn. */
async function resumeStream(
  fleet: SoakFleet,
  broken: ObservedRequest,
  gateways: number,
  observed: ObservedRequest[],
): Promise<void> {
  const agent = new Agent({ keepAlive: false });
  let last = broken;
  for (let attempt = 1; attempt <= MAX_RESUMPTIONS; attempt += 1) {
    const resumes = resumptionOf(last);
    if (resumes === undefined) {
      break;
    }
    const gateway = (broken.gateway + attempt) % gateways;
    const id = `c${gateway}-r${attempt}-${broken.id}`;
    last = await send(fleet, agent, id, broken.kind, gateway, resumes);
    observed.push(last);
    await sleepMs(last.status === 0 ? 100 : 20);
  }
  agent.destroy();
}

function send(
  fleet: SoakFleet,
  agent: Agent,
  id: string,
  kind: RouteKind,
  gateway: number,
  resumes?: ResumedStream,
): Promise<ObservedRequest> {
  const sentAtMs = performance.now();
  const sent: ObservedRequest = {
    id,
    kind,
    gateway,
    sentAtMs,
    endedAtMs: 0,
    status: 0,
    body: '',
    ...(resumes && { resumes }),
  };
  return new Promise((resolve) => {
    const end = (status: number) => {
      if (sent.endedAtMs === 0) {
        sent.endedAtMs = performance.now();
        sent.status = status;
        resolve(sent);
      }
    };
    const clientRequest = request({
      ...fleet.callersAddress(gateway),
      agent,
      method: 'POST',
      path: `/${kind}/${resumes?.firstId ?? id}`,
      headers: {
        Host: 'soak.example',
        Authorization: `Bearer ${SOAK_API_KEY}`,
        'X-Weirvale-Attempt-Id': id,
        'X-Weirvale-Deadline-Ms': soakTimeoutMs(kind),
        'X-Weirvale-Token-Counts': '100,24',
        ...(resumes && { 'Last-Event-Id': `${resumes.afterEvent}`, Resumes: resumes.firstId }),
      },
    });
    clientRequest.setTimeout(soakTimeoutMs(kind) * 2, () => clientRequest.destroy());
    clientRequest.on('error', (error: NodeJS.ErrnoException) => {
      sent.isConnectionRefused = error.code === 'ECONNREFUSED';
      end(0);
    });
    clientRequest.on('response', (response) => {
      sent.hasHead = true;
      response.on('data', (bytes: Buffer) => (sent.body += bytes.toString()));
      response.on('end', () => end(response.complete ? (response.statusCode ?? 0) : 0));
      response.on('error', () => end(0));
      response.on('close', () => end(0));
    });
    clientRequest.end('body');
  });
}

/** Reports a request that a gateway without faults since it was sent held beyond its deadline. */
export function findOverdue(sent: ObservedRequest, disruptedUntilMs: number): string[] {
  const heldMs = sent.endedAtMs - sent.sentAtMs;
  const isLate =
    heldMs > soakTimeoutMs(sent.kind) + OVERDUE_TOLERANCE_MS && disruptedUntilMs <= sent.sentAtMs;
  return isLate
    ? [
        `${sent.id} (${sent.kind}) was held for ${Math.round(heldMs)} ms by a gateway without faults`,
      ]
    : [];
}

/** Returns the index of the gateway that a request was sent to, by the request id. */
function gatewayOf(requestId: string, gateways: number): number {
  return Number(/^c(\d+)-/.exec(requestId)![1]) % gateways;
}

/** Reports requests that a backend executed later than the bound after it announced draining. */
export function findSentToDraining(
  executions: readonly Execution[],
  drainingSinceMs: ReadonlyMap<string, number>,
  isUndisruptedSince: (requestId: string, sinceMs: number) => boolean,
): string[] {
  return executions.flatMap(({ requestId, backendId, atMs }) => {
    const drainingAtMs = drainingSinceMs.get(backendId);
    const isLate = drainingAtMs !== undefined && atMs > drainingAtMs + DRAIN_BOUND_MS;
    return isLate && isUndisruptedSince(requestId, drainingAtMs)
      ? [
          `${requestId} ran at ${backendId} ${Math.round(atMs - drainingAtMs)} ms after it announced that it is draining`,
        ]
      : [];
  });
}

/**
 * Reports an execution in a zone later than the bound after its evacuation. Called during the soak
 * test, since only faults of the gateway before the execution excuse it.
 */
export function findSentToEvacuated(
  { requestId, backendId, atMs }: Execution,
  evacuations: readonly SoakEvacuation[],
  disruptedUntilMs: number,
): string[] {
  return evacuations
    .filter(({ index, fromMs, untilMs }) => {
      // Each new name at an address appends an `x` to the previous id.
      const isInZone = backendId.replaceAll('x', '') === `e-${index}`;
      const sinceMs = Math.max(fromMs + EVACUATION_BOUND_MS, disruptedUntilMs);
      return isInZone && atMs > sinceMs && atMs < untilMs;
    })
    .map(
      ({ fromMs }) =>
        `${requestId} ran at ${backendId} ${Math.round(atMs - fromMs)} ms after its zone was evacuated`,
    );
}

/** Reports cold backends that executed more requests per second than `SOAK_MAX_COLD_STARTS`. */
export function findColdOverloads(executions: readonly Execution[]): string[] {
  const startTimesByBackend = new Map<string, number[]>();
  for (const { backendId, atMs, countsAsColdStart } of executions) {
    if (countsAsColdStart) {
      startTimesByBackend.set(backendId, [...(startTimesByBackend.get(backendId) ?? []), atMs]);
    }
  }
  return [...startTimesByBackend].flatMap(([backendId, startTimes]) => {
    const peakCount = Math.max(...startTimes.map((atMs) => countWindowFrom(startTimes, atMs)));
    return peakCount > SOAK_MAX_COLD_STARTS
      ? [`${backendId} got ${peakCount} requests in a second while cold`]
      : [];
  });
}

function countWindowFrom(times: readonly number[], fromMs: number): number {
  return times.filter((atMs) => atMs >= fromMs && atMs < fromMs + COLD_WINDOW_MS).length;
}

/** Reports violated guarantees, from the observations of callers and backends. */
export function findViolations(
  observed: readonly ObservedRequest[],
  executions: readonly Execution[],
  faultFreeFromMs: number,
  isRequestServable: (request: ObservedRequest) => boolean = () => true,
): string[] {
  const executionsById = new Map<string, Execution[]>();
  for (const execution of executions) {
    executionsById.set(execution.requestId, [
      ...(executionsById.get(execution.requestId) ?? []),
      execution,
    ]);
  }
  const violations: string[] = findBrokenStreams(observed);
  for (const sent of observed) {
    violations.push(...checkRequest(sent, executionsById.get(sent.id) ?? []));
  }
  const faultFree = observed.filter(
    (sent) => sent.sentAtMs >= faultFreeFromMs && isRequestServable(sent),
  );
  const succeeded = faultFree.filter(({ status }) => status === 200).length;
  if (faultFree.length === 0 || succeeded / faultFree.length < MIN_FAULT_FREE_SUCCESS) {
    violations.push(
      `after the faults only ${succeeded} of ${faultFree.length} requests were served`,
    );
  }
  return violations;
}

function checkRequest(sent: ObservedRequest, executions: readonly Execution[]): string[] {
  const violations: string[] = [];
  if (sent.kind === 'unsafe' && executions.length > 1) {
    violations.push(`${sent.id} must not be retried but ran ${executions.length} times`);
  }
  if (sent.kind === 'unsafe' && NOT_EXECUTED_STATUSES.has(sent.status) && executions.length > 0) {
    violations.push(`${sent.id} received ${sent.status} but ran`);
  }
  const isWhole = isStreamKind(sent.kind) || sent.body === expectedResponse(sent.id);
  if (sent.status === 200 && !isWhole) {
    violations.push(`${sent.id} received a body that is not its own or not complete`);
  }
  if (executions.some(({ tenant }) => tenant !== 'shop')) {
    violations.push(`${sent.id} ran under another tenant`);
  }
  return violations;
}

function sleepMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
