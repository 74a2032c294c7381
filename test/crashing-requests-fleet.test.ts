/**
 * Simulates, on a virtual clock, one request that crashes every backend among many harmless ones.
 * Gateways are partitioned, restart and receive tallies late; many backends also crash at once for
 * unrelated reasons.
 */
import test from 'ava';
import { headerValue } from '../src/http/header-value.js';
import type { StoredCrashes } from '../src/gateway/crashes/crash-record.js';
import type { RequestRun } from '../src/gateway/crashes/request-run.js';
import type { FingerprintCrashes } from '../src/gateway/crashes/crash-tally.js';
import type { AcceptedRequest } from '../src/gateway/attempt/accepted-request.js';
import { SeededRandom } from '../src/random.js';
import { ok } from '../src/result.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { backendOf, routeOf } from './support/gateway-harness.js';
import { CrashGateway } from './support/crash-gateway.js';
import { CrashRecordStore } from './support/crash-record-store.js';
import { positionAt } from './support/store-positions.js';
import type { StorePosition } from '../src/cluster/store-position.js';

const SEEDS = 200;
const GATEWAYS = 5;
const BACKENDS = 24;
const RUN_MS = 40_000;
const HARMLESS_KINDS = 40;
const RESTART_DELAY_MS = 3_000;
/** Sends count as late from this time after the third crash, and this many are tolerated. */
const PROPAGATION_GRACE_MS = 3_000;
const TOLERATED_LATE_SENDS = 3;
const ROUTE = routeOf({ kind: 'unsafe' });

/** Faults injected into the code under test. */
interface Variant {
  /** Counts a run by the tally known when it is interrupted instead of when it began. */
  readonly countsOverlappingRuns?: boolean;
  readonly disablesSharing?: boolean;
  readonly disablesRecord?: boolean;
  /** Completed requests are not cleared. */
  readonly disablesClearance?: boolean;
  /** A record that a restored store lacks counts as removed by operators. */
  readonly clearsOnLoss?: boolean;
}

interface Outcome {
  crashes: number;
  lateSends: number;
  refusedHarmless: number;
}

function requestOf(body: string): AcceptedRequest {
  return {
    requestId: headerValue(''),
    route: ROUTE,
    service: 's',
    tenant: headerValue('t'),
    tier: 0,
    rankInTier: 0,
    allowedRegions: undefined,
    arrivedAtMs: 0,
    firstAttemptAtMs: 0,
    deadlineAtMs: 0,
    workUnits: 1,
    promptTokens: 0,
    sharedPromptParts: [],
    quotaCost: 0,
    method: 'POST',
    path: '/a/',
    headers: [],
    body: Buffer.from(body),
    lastEventId: undefined,
    resumedRequestId: undefined,
    streamKey: undefined,
    resumableForMs: 0,
    resumedVersion: undefined,
  };
}

/** The simulated fleet of one seed. */
class CrashFleet {
  readonly clock = new VirtualClock();
  readonly outcome: Outcome = { crashes: 0, lateSends: 0, refusedHarmless: 0 };
  private readonly random: SeededRandom;
  private gateways: CrashGateway[] = [];
  private readonly runs = new Map<string, Array<{ gateway: CrashGateway; run: RequestRun }>>();
  private readonly downUntilMs = new Map<string, number>();
  private thirdCrashAtMs = Infinity;
  private readonly store = new CrashRecordStore((record) => {
    for (const gateway of this.gateways) {
      this.clock.setTimeout(() => gateway.applyRecord(record), 20 + this.randomBelow(300));
    }
  });
  /** Index of the gateway that is partitioned from its peers, and until when. */
  private partition: { index: number; untilMs: number } = { index: -1, untilMs: 0 };

  constructor(
    seed: number,
    readonly variant: Variant,
    /** Whether the store is restored once late sends count, from a backup without the record. */
    private readonly hasRestoredStore = false,
  ) {
    this.random = new SeededRandom(seed);
    this.gateways = Array.from({ length: GATEWAYS }, (_unused, index) => this.create(index));
  }

  async run(): Promise<Outcome> {
    this.every(60, () => this.send(`harmless ${this.randomBelow(HARMLESS_KINDS)}`, false));
    this.every(250, () => this.send('crashing', true));
    this.every(5_000, () => this.startPartition());
    this.every(7_000, () => this.restart());
    this.every(6_000, () => this.crashMany());
    await this.clock.runUntil(RUN_MS);
    return this.outcome;
  }

  randomBelow(bound: number): number {
    return Math.floor(this.random.next() * bound);
  }

  broadcast(from: CrashGateway, requests: readonly FingerprintCrashes[]): void {
    for (const gateway of this.gateways) {
      if (
        gateway !== from &&
        !this.isPartitioned(from.index) &&
        !this.isPartitioned(gateway.index)
      ) {
        this.clock.setTimeout(() => gateway.mergeFromPeer(requests), 1 + this.randomBelow(10));
      }
    }
  }

  write(requests: readonly StoredCrashes[], expected: StorePosition) {
    this.clock.markPromiseSettled();
    if (this.variant.disablesRecord === true) {
      return Promise.resolve(ok(positionAt(expected.revision + 1)));
    }
    return Promise.resolve(this.store.write(requests, expected));
  }

  private every(meanMs: number, act: () => void): void {
    this.clock.setTimeout(
      () => {
        act();
        this.every(meanMs, act);
      },
      meanMs * (0.5 + this.random.next()),
    );
  }

  private create(index: number): CrashGateway {
    const { disablesSharing = false, clearsOnLoss = false } = this.variant;
    const gateway = new CrashGateway(this, index, disablesSharing, clearsOnLoss);
    const { record } = this.store;
    if (record !== undefined) {
      gateway.applyRecord(record);
    }
    for (const other of this.gateways) {
      if (other.index !== index && !this.isPartitioned(index) && !this.isPartitioned(other.index)) {
        const tallies = other.crashing.newestTallies();
        this.clock.setTimeout(() => gateway.mergeFromPeer(tallies), 50);
      }
    }
    return gateway;
  }

  private isPartitioned(index: number): boolean {
    return this.partition.index === index && this.clock.now() < this.partition.untilMs;
  }

  private startPartition(): void {
    const untilMs = this.clock.now() + this.randomBelow(4_000);
    this.partition = { index: this.randomBelow(GATEWAYS), untilMs };
  }

  private restart(): void {
    const index = this.randomBelow(GATEWAYS);
    const stopped = this.gateways[index]!;
    for (const [backendId, runs] of this.runs) {
      this.runs.set(
        backendId,
        runs.filter(({ gateway }) => gateway !== stopped),
      );
    }
    this.gateways[index] = this.create(index);
  }

  private isUp(backendId: string): boolean {
    return this.clock.now() >= (this.downUntilMs.get(backendId) ?? 0);
  }

  private send(body: string, isCrashing: boolean): void {
    const gateway = this.gateways[this.randomBelow(GATEWAYS)]!;
    const backendId = `b${this.randomBelow(BACKENDS)}`;
    const request = requestOf(body);
    if (!this.isUp(backendId)) {
      return;
    }
    if (gateway.crashing.refusalOf(request) !== undefined) {
      this.outcome.refusedHarmless += isCrashing ? 0 : 1;
      return;
    }
    const nowMs = this.clock.now();
    if (isCrashing && nowMs > this.thirdCrashAtMs + PROPAGATION_GRACE_MS) {
      this.outcome.lateSends += 1;
    }
    const run = gateway.crashing.beginRun(request, backendOf(backendId));
    const entry = { gateway, run };
    this.runs.set(backendId, [...(this.runs.get(backendId) ?? []), entry]);
    if (isCrashing) {
      this.clock.setTimeout(() => this.crash(backendId), 20 + this.randomBelow(200));
      return;
    }
    this.clock.setTimeout(() => this.end(backendId, entry), 100 + this.randomBelow(900));
  }

  private end(backendId: string, entry: { gateway: CrashGateway; run: RequestRun }): void {
    const running = this.runs.get(backendId) ?? [];
    if (running.includes(entry)) {
      this.runs.set(
        backendId,
        running.filter((each) => each !== entry),
      );
      if (this.variant.disablesClearance !== true) {
        entry.gateway.crashing.recordServed(entry.run.request, 200);
      }
    }
  }

  /** Crashes a backend, whatever the cause. */
  private crash(backendId: string): void {
    if (!this.isUp(backendId)) {
      return;
    }
    const nowMs = this.clock.now();
    this.downUntilMs.set(backendId, nowMs + RESTART_DELAY_MS);
    const running = this.runs.get(backendId) ?? [];
    this.runs.delete(backendId);
    if (running.some(({ run }) => run.request.body.toString() === 'crashing')) {
      this.outcome.crashes += 1;
      if (this.outcome.crashes === 3) {
        this.thirdCrashAtMs = nowMs;
        this.scheduleRestore();
      }
    }
    // Where the agent is down, the crash is detected only when the backend restarts.
    const detectionDelayMs =
      this.random.next() < 0.8
        ? 5 + this.randomBelow(60)
        : RESTART_DELAY_MS + this.randomBelow(300);
    for (const { gateway, run } of running) {
      this.clock.setTimeout(() => this.interrupt(gateway, run), 1 + this.randomBelow(4));
    }
    for (const gateway of this.gateways) {
      this.clock.setTimeout(
        () => gateway.crashing.recordBackendExit(backendId, 'agent'),
        detectionDelayMs,
      );
    }
  }

  private scheduleRestore(): void {
    if (this.hasRestoredStore) {
      this.clock.setTimeout(() => this.store.restoreWithoutRecord(), PROPAGATION_GRACE_MS);
    }
  }

  private interrupt(gateway: CrashGateway, run: RequestRun): void {
    const counted =
      this.variant.countsOverlappingRuns === true
        ? {
            ...gateway.crashing.beginRun(run.request, run.backend),
            sentAtMs: run.sentAtMs,
          }
        : run;
    gateway.interruptRun(counted);
  }

  /** Crashes a quarter of the backends at once, for reasons unrelated to any request. */
  private crashMany(): void {
    for (let lost = 0; lost < BACKENDS / 4; lost += 1) {
      this.crash(`b${this.randomBelow(BACKENDS)}`);
    }
  }
}

async function runSeeds(variant: Variant, hasRestoredStore = false): Promise<Outcome[]> {
  const outcomes: Outcome[] = [];
  for (let seed = 0; seed < SEEDS; seed += 1) {
    outcomes.push(await new CrashFleet(seed, variant, hasRestoredStore).run());
  }
  return outcomes;
}

function maximumOf(outcomes: readonly Outcome[], pick: (outcome: Outcome) => number): number {
  return Math.max(...outcomes.map(pick));
}

test('every gateway refuses the crashing request and no other, despite partitions, restarts and unrelated crashes', async (t) => {
  const outcomes = await runSeeds({});
  t.log(`most crashes ${maximumOf(outcomes, ({ crashes }) => crashes)}`);
  t.true(outcomes.every(({ crashes }) => crashes >= 3));
  t.true(maximumOf(outcomes, ({ lateSends }) => lateSends) <= TOLERATED_LATE_SENDS);
  t.is(
    maximumOf(outcomes, ({ refusedHarmless }) => refusedHarmless),
    0,
  );
});

test('gateways that do not share tallies keep sending a crashing request', async (t) => {
  const outcomes = await runSeeds({ disablesSharing: true });
  t.true(maximumOf(outcomes, ({ lateSends }) => lateSends) > TOLERATED_LATE_SENDS);
});

test('a fleet that counts concurrent runs as separate crashes refuses harmless requests', async (t) => {
  const outcomes = await runSeeds({ countsOverlappingRuns: true, disablesClearance: true });
  t.true(maximumOf(outcomes, ({ refusedHarmless }) => refusedHarmless) > 0);
});

test('a crashing request stays refused when the store is restored without the crash record', async (t) => {
  const outcomes = await runSeeds({}, true);
  t.true(outcomes.every(({ crashes }) => crashes >= 3));
  t.true(maximumOf(outcomes, ({ lateSends }) => lateSends) <= TOLERATED_LATE_SENDS);
  t.is(
    maximumOf(outcomes, ({ refusedHarmless }) => refusedHarmless),
    0,
  );
});

test('gateways that clear their tallies when a restored store lacks the record send the crashing request on', async (t) => {
  const outcomes = await runSeeds({ clearsOnLoss: true }, true);
  t.true(maximumOf(outcomes, ({ lateSends }) => lateSends) > TOLERATED_LATE_SENDS);
});
