/**
 * One request that crashes every back end, among many that do not, at gateways that are cut off, restart and hear
 * of each other late, on the virtual clock; back ends also end many at once for no request's doing.
 */
import test from 'ava';
import { CrashRecordWriter } from '../src/gateway/crashes/crash-record.js';
import type { StoredCrashes } from '../src/gateway/crashes/crash-record.js';
import { StoreConflictError } from '../src/cluster/cluster-store.js';
import { CrashingRequests } from '../src/gateway/crashes/crashing-requests.js';
import type { RequestRun } from '../src/gateway/crashes/crashing-requests.js';
import type { RequestCrashes } from '../src/gateway/crashes/crash-tally.js';
import type { AcceptedRequest } from '../src/gateway/attempt/accepted-request.js';
import { SeededRandom } from '../src/random.js';
import { err, ok } from '../src/result.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { backendOf, routeOf } from './support/gateway.js';
import { at } from './support/positions.js';
import type { StorePosition } from '../src/cluster/store-position.js';
import type { CrashRecord } from '../src/gateway/crashes/crash-record.js';

const SEEDS = 200;
const GATEWAYS = 5;
const BACKENDS = 24;
const RUN_MS = 40_000;
const HARMLESS_KINDS = 40;
const AWAY_MS = 3_000;
/** Users count sends from so long after the third crash on, and bear so many of them. */
const TIME_TO_ACT_MS = 3_000;
const BORNE_SENDS = 3;
const ROUTE = routeOf({ kind: 'unsafe' });

/** What is broken in a variant of the code. */
interface Variant {
  /** A run is put into the row of crashes by what is known when it breaks off, not when it began. */
  readonly countsOverlaps?: boolean;
  readonly tellsNobody?: boolean;
  readonly keepsNothing?: boolean;
  /** An answer clears nothing. */
  readonly clearsNothing?: boolean;
}

interface Outcome {
  crashes: number;
  lateSends: number;
  refusedHarmless: number;
}

function requestOf(body: string): AcceptedRequest {
  return {
    requestId: '',
    route: ROUTE,
    service: 's',
    tenant: 't',
    tier: 0,
    rankInTier: 0,
    allowedRegions: undefined,
    arrivedAtMs: 0,
    firstTriedAtMs: 0,
    endsAtMs: 0,
    units: 1,
    promptTokens: 0,
    quotaCost: 0,
    method: 'POST',
    path: '/a/',
    headers: [],
    body: Buffer.from(body),
    lastEventId: undefined,
  };
}

/** A fleet of one seed. */
class CrashFleet {
  readonly clock = new VirtualClock();
  readonly outcome: Outcome = { crashes: 0, lateSends: 0, refusedHarmless: 0 };
  private readonly random: SeededRandom;
  private gateways: FleetGateway[] = [];
  private readonly runs = new Map<string, Array<{ gateway: FleetGateway; run: RequestRun }>>();
  private readonly awayUntilMs = new Map<string, number>();
  private thirdCrashAtMs = Infinity;
  private record: CrashRecord | undefined;
  /** A gateway that its peers do not reach, and until when. */
  private cutOff: { index: number; untilMs: number } = { index: -1, untilMs: 0 };

  constructor(
    seed: number,
    readonly variant: Variant,
  ) {
    this.random = new SeededRandom(seed);
    this.gateways = Array.from({ length: GATEWAYS }, (_unused, index) => this.create(index));
  }

  async play(): Promise<Outcome> {
    this.every(60, () => this.send(`harmless ${this.below(HARMLESS_KINDS)}`, false));
    this.every(250, () => this.send('crashing', true));
    this.every(5_000, () => this.cut());
    this.every(7_000, () => this.restart());
    this.every(6_000, () => this.loseMany());
    await this.clock.runUntil(RUN_MS);
    return this.outcome;
  }

  below(bound: number): number {
    return Math.floor(this.random.next() * bound);
  }

  tellPeers(from: FleetGateway, requests: readonly RequestCrashes[]): void {
    for (const gateway of this.gateways) {
      if (gateway !== from && !this.isCut(from.index) && !this.isCut(gateway.index)) {
        this.clock.setTimeout(() => gateway.hear(requests), 1 + this.below(10));
      }
    }
  }

  write(requests: readonly StoredCrashes[], { revision }: StorePosition) {
    this.clock.notePromise();
    if (this.variant.keepsNothing === true) {
      return Promise.resolve(ok(at(revision + 1)));
    }
    if ((this.record?.revision ?? 0) !== revision) {
      return Promise.resolve(err(new StoreConflictError('changed')));
    }
    const record = { requests, ...at(revision + 1) };
    this.record = record;
    for (const gateway of this.gateways) {
      this.clock.setTimeout(() => gateway.read(record), 20 + this.below(300));
    }
    return Promise.resolve(ok(at(record.revision)));
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

  private create(index: number): FleetGateway {
    const gateway = new FleetGateway(this, index);
    const record = this.record;
    if (record !== undefined) {
      gateway.read(record);
    }
    for (const other of this.gateways) {
      if (other.index !== index && !this.isCut(index) && !this.isCut(other.index)) {
        const told = other.crashing.tell();
        this.clock.setTimeout(() => gateway.hear(told), 50);
      }
    }
    return gateway;
  }

  private isCut(index: number): boolean {
    return this.cutOff.index === index && this.clock.now() < this.cutOff.untilMs;
  }

  private cut(): void {
    const untilMs = this.clock.now() + this.below(4_000);
    this.cutOff = { index: this.below(GATEWAYS), untilMs };
  }

  private restart(): void {
    const index = this.below(GATEWAYS);
    const dead = this.gateways[index]!;
    for (const [backendId, runs] of this.runs) {
      this.runs.set(
        backendId,
        runs.filter(({ gateway }) => gateway !== dead),
      );
    }
    this.gateways[index] = this.create(index);
  }

  private isUp(backendId: string): boolean {
    return this.clock.now() >= (this.awayUntilMs.get(backendId) ?? 0);
  }

  private send(body: string, isCrashing: boolean): void {
    const gateway = this.gateways[this.below(GATEWAYS)]!;
    const backendId = `b${this.below(BACKENDS)}`;
    const request = requestOf(body);
    if (!this.isUp(backendId)) {
      return;
    }
    if (gateway.crashing.refusalOf(request) !== undefined) {
      this.outcome.refusedHarmless += isCrashing ? 0 : 1;
      return;
    }
    const nowMs = this.clock.now();
    if (isCrashing && nowMs > this.thirdCrashAtMs + TIME_TO_ACT_MS) {
      this.outcome.lateSends += 1;
    }
    const run = gateway.crashing.begin(request, backendOf(backendId));
    const entry = { gateway, run };
    this.runs.set(backendId, [...(this.runs.get(backendId) ?? []), entry]);
    if (isCrashing) {
      this.clock.setTimeout(() => this.crash(backendId), 20 + this.below(200));
      return;
    }
    this.clock.setTimeout(() => this.end(backendId, entry), 100 + this.below(900));
  }

  private end(backendId: string, entry: { gateway: FleetGateway; run: RequestRun }): void {
    const running = this.runs.get(backendId) ?? [];
    if (running.includes(entry)) {
      this.runs.set(
        backendId,
        running.filter((each) => each !== entry),
      );
      if (this.variant.clearsNothing !== true) {
        entry.gateway.crashing.noteServed(entry.run.request);
      }
    }
  }

  /** A back end ends, by a request or otherwise. */
  private crash(backendId: string): void {
    if (!this.isUp(backendId)) {
      return;
    }
    const nowMs = this.clock.now();
    this.awayUntilMs.set(backendId, nowMs + AWAY_MS);
    const running = this.runs.get(backendId) ?? [];
    this.runs.delete(backendId);
    if (running.some(({ run }) => run.request.body.toString() === 'crashing')) {
      this.outcome.crashes += 1;
      this.thirdCrashAtMs = this.outcome.crashes === 3 ? nowMs : this.thirdCrashAtMs;
    }
    // Some agents are gone: then the back end's return tells.
    const knownInMs = this.random.next() < 0.8 ? 5 + this.below(60) : AWAY_MS + this.below(300);
    for (const { gateway, run } of running) {
      this.clock.setTimeout(() => gateway.noteBroken(run), 1 + this.below(4));
    }
    for (const gateway of this.gateways) {
      this.clock.setTimeout(() => gateway.crashing.noteEnded(backendId, 'agent'), knownInMs);
    }
  }

  /** A quarter of the back ends ends at once, for no request's doing. */
  private loseMany(): void {
    for (let lost = 0; lost < BACKENDS / 4; lost += 1) {
      this.crash(`b${this.below(BACKENDS)}`);
    }
  }
}

/** One life of a gateway. */
class FleetGateway {
  readonly crashing: CrashingRequests;
  private readonly record: CrashRecordWriter;

  constructor(
    private readonly fleet: CrashFleet,
    readonly index: number,
  ) {
    const { clock, variant } = fleet;
    this.crashing = new CrashingRequests(
      {
        isLeaving: () => false,
        look: () => undefined,
        onCrash: () => undefined,
        onNews: (news, source) => {
          if (source === 'own' && variant.tellsNobody !== true) {
            fleet.tellPeers(this, news);
            this.record.add(news);
          }
        },
        onRefused: () => undefined,
      },
      clock,
    );
    this.record = new CrashRecordWriter(
      {
        write: (requests, expected) => fleet.write(requests, expected),
        onWritten: () => undefined,
        timeOfDayMs: () => clock.now(),
      },
      clock,
    );
  }

  hear(requests: readonly RequestCrashes[]): void {
    this.crashing.hear(requests, 'peer');
  }

  read(record: CrashRecord): void {
    this.crashing.hear(this.record.take(record), 'store');
  }

  noteBroken(run: RequestRun): void {
    const { countsOverlaps } = this.fleet.variant;
    const counted =
      countsOverlaps === true
        ? { ...this.crashing.begin(run.request, run.backend), sentAtMs: run.sentAtMs }
        : run;
    this.crashing.noteBroken(counted, false);
  }
}

async function playAll(variant: Variant): Promise<Outcome[]> {
  const outcomes: Outcome[] = [];
  for (let seed = 0; seed < SEEDS; seed += 1) {
    outcomes.push(await new CrashFleet(seed, variant).play());
  }
  return outcomes;
}

function worst(outcomes: readonly Outcome[], pick: (outcome: Outcome) => number): number {
  return Math.max(...outcomes.map(pick));
}

test('a crashing request is kept from back ends at every gateway, and no other one, whatever comes between', async (t) => {
  const outcomes = await playAll({});
  t.log(`most crashes ${worst(outcomes, ({ crashes }) => crashes)}`);
  t.true(outcomes.every(({ crashes }) => crashes >= 3));
  t.true(worst(outcomes, ({ lateSends }) => lateSends) <= BORNE_SENDS);
  t.is(
    worst(outcomes, ({ refusedHarmless }) => refusedHarmless),
    0,
  );
});

test('gateways that tell each other nothing send a crashing request on', async (t) => {
  const outcomes = await playAll({ tellsNobody: true });
  t.true(worst(outcomes, ({ lateSends }) => lateSends) > BORNE_SENDS);
});

test('a fleet that counts runs that were at work together refuses harmless requests', async (t) => {
  const outcomes = await playAll({ countsOverlaps: true, clearsNothing: true });
  t.true(worst(outcomes, ({ refusedHarmless }) => refusedHarmless) > 0);
});
