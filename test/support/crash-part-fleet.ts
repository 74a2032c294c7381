import { StoreUnavailableError } from '../../src/cluster/cluster-store.js';
import type { StorePosition } from '../../src/cluster/store-position.js';
import type { StoredCrashes } from '../../src/gateway/crashes/crash-record.js';
import type { RequestRun } from '../../src/gateway/crashes/request-run.js';
import type { FingerprintCrashes } from '../../src/gateway/crashes/crash-tally.js';
import type { AcceptedRequest } from '../../src/gateway/attempt/accepted-request.js';
import { SeededRandom } from '../../src/random.js';
import { err } from '../../src/result.js';
import { VirtualClock } from '../../src/sim/virtual-clock.js';
import { CrashGateway } from './crash-gateway.js';
import { CrashRecordStore } from './crash-record-store.js';
import { backendOf, GatewayHarness, routeOf } from './gateway-harness.js';

/** Faults injected into the code under test. */
export interface CrashPartVariant {
  /** Only the last part of a prompt is tallied. */
  readonly blamesLastPart?: boolean;
  /** Gateways do not tell each other of crashes, nor the store. */
  readonly disablesSharing?: boolean;
  /** A refusal counts as a whole answer. */
  readonly clearsOnRefusal?: boolean;
  /** Whole answers clear nothing. */
  readonly disablesClearance?: boolean;
  /** A gateway that starts receives nothing from its peers or the store. */
  readonly startsUnaware?: boolean;
  /** A record that a restored store lacks counts as removed by operators. */
  readonly clearsOnLoss?: boolean;
}

/** Size of a fleet, and the trouble it is in. */
export interface CrashPartScenario {
  readonly gateways: number;
  /** Number of prompt parts that crash engines. */
  readonly culprits: number;
  /** Whether the crashing parts come first in a prompt, in place of the sound first part. */
  readonly isFirstPart?: boolean;
  /** One gateway is restarted at this mean interval, in milliseconds. */
  readonly restartEveryMs?: number;
  /** All gateways are restarted at once at this mean interval, in milliseconds. */
  readonly restartAllEveryMs?: number;
  /** One gateway is cut off for up to 4 s at this mean interval, in milliseconds. */
  readonly partitionEveryMs?: number;
  /** An engine ends for reasons of its own at this mean interval, in milliseconds. */
  readonly crashEveryMs?: number;
  /** The store rejects writes for 8 s from the first crash on. */
  readonly hasStoreOutage?: boolean;
  /** The store is restored 8 s after the outbreak, from a backup without the crash record. */
  readonly hasRestoredStore?: boolean;
}

/** What a run of a fleet showed. */
export interface CrashPartOutcome {
  /** Engines that ended under the part that ended the most. */
  mostEnded: number;
  /** Late sends of the part with the most. */
  mostLate: number;
  /** Sends, after the store was restored, of the part with the most. */
  mostAfterRestore: number;
  /** Sound requests from twice the contact time after the fifth crash on, and those refused. */
  soundAfter: number;
  soundRefusedAfter: number;
  /** Sound requests and those refused, over the whole run. */
  sound: number;
  soundRefused: number;
}

const ENGINES = 12;
const RUN_MS = 20_000;
const OUTBREAK_AT_MS = 4_000;
const CONTACT_MS = 3_000;
/** Crashes after which the promise on late sends begins. */
const TOLERATED_CRASHES = 5;
const STORE_OUTAGE_MS = 8_000;
/** Time after which gateways have refused the crashing parts for seconds. */
const RESTORE_AFTER_MS = 8_000;
const SOUND_INTERVAL_MS = 14;
const CRASHING_INTERVAL_MS = 200;
const FIRST_PARTS = ['a0', 'a1', 'a2', 'a3'];
const MIDDLE_PARTS = ['b0', 'b1', 'b2', 'b3'];
/** Share of requests with the most popular first part. */
const POPULAR_SHARE = 0.9;
/** Parts that few requests share. */
const RARE_PARTS = 60;
const BAD_PART = 'bad';
const ROUTE = routeOf({ kind: 'unsafe' });
const PROTOTYPE = new GatewayHarness().accept({ route: ROUTE });

interface Running {
  readonly gateway: CrashGateway;
  readonly run: RequestRun;
}

interface Culprit {
  readonly part: string;
  ended: number;
  late: number;
  afterRestore: number;
  fifthCrashAtMs: number;
}

/** Gateways, engines and callers on a virtual clock; some prompts hold a part that ends engines. */
export class CrashPartFleet {
  readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly gateways: CrashGateway[];
  /** Times until which a gateway is out of touch: restarted or cut off within the contact time. */
  private readonly outOfTouchUntilMs = new Map<number, number>();
  private readonly cutOffUntilMs = new Map<number, number>();
  private readonly engines = new Map<number, { id: string; running: Running[]; upAtMs: number }>();
  private readonly culprits: Culprit[];
  private readonly counts = { soundAfter: 0, soundRefusedAfter: 0, sound: 0, soundRefused: 0 };
  private readonly store = new CrashRecordStore((record) => {
    for (const gateway of this.gateways) {
      this.clock.setTimeout(() => gateway.applyRecord(record), 20 + this.randomBelow(300));
    }
  });
  private storeDownUntilMs = 0;
  private restoredAtMs = Infinity;
  private lives = 0;
  private bodies = 0;

  constructor(
    seed: number,
    private readonly scenario: CrashPartScenario,
    private readonly variant: CrashPartVariant = {},
  ) {
    this.random = new SeededRandom(seed);
    this.culprits = Array.from({ length: scenario.culprits }, (_unused, index) => ({
      part: `${BAD_PART}${index}`,
      ended: 0,
      late: 0,
      afterRestore: 0,
      fifthCrashAtMs: Infinity,
    }));
    for (let index = 0; index < ENGINES; index += 1) {
      this.startEngine(index, 0);
    }
    this.gateways = [];
    for (let index = 0; index < scenario.gateways; index += 1) {
      this.gateways.push(this.startGateway(index));
    }
  }

  async run(): Promise<CrashPartOutcome> {
    const { scenario } = this;
    this.every(SOUND_INTERVAL_MS, () => this.sendSound());
    for (const culprit of this.culprits) {
      this.clock.setTimeout(
        () => this.every(CRASHING_INTERVAL_MS, () => this.sendCrashing(culprit)),
        OUTBREAK_AT_MS,
      );
    }
    this.every(scenario.restartEveryMs, () => this.restart(this.randomBelow(scenario.gateways)));
    this.every(scenario.restartAllEveryMs, () => this.restartAll());
    this.every(scenario.partitionEveryMs, () => this.cutOff());
    this.every(scenario.crashEveryMs, () => this.endEngine(this.randomBelow(ENGINES)));
    if (scenario.hasRestoredStore === true) {
      this.clock.setTimeout(() => this.restoreStore(), OUTBREAK_AT_MS + RESTORE_AFTER_MS);
    }
    await this.clock.runUntil(RUN_MS);
    return {
      ...this.counts,
      mostEnded: Math.max(0, ...this.culprits.map(({ ended }) => ended)),
      mostLate: Math.max(0, ...this.culprits.map(({ late }) => late)),
      mostAfterRestore: Math.max(0, ...this.culprits.map(({ afterRestore }) => afterRestore)),
    };
  }

  broadcast(from: CrashGateway, tallies: readonly FingerprintCrashes[]): void {
    for (const gateway of this.gateways) {
      if (gateway !== from && this.isConnected(from.index, gateway.index)) {
        this.clock.setTimeout(() => this.deliver(from, gateway, tallies), this.latencyMs());
      }
    }
  }

  write(requests: readonly StoredCrashes[], expected: StorePosition) {
    this.clock.markPromiseSettled();
    const isDown = this.clock.now() < this.storeDownUntilMs;
    const written = isDown
      ? err(new StoreUnavailableError('down'))
      : this.store.write(requests, expected);
    return Promise.resolve(written);
  }

  private deliver(
    from: CrashGateway,
    to: CrashGateway,
    tallies: readonly FingerprintCrashes[],
  ): void {
    const missing = to.mergeFromPeer(tallies);
    if (missing.length > 0) {
      this.clock.setTimeout(() => void from.mergeFromPeer(missing), this.latencyMs());
    }
  }

  private restoreStore(): void {
    this.restoredAtMs = this.clock.now();
    this.store.restoreWithoutRecord();
  }

  private every(meanMs: number | undefined, act: () => void): void {
    if (meanMs === undefined) {
      return;
    }
    this.clock.setTimeout(
      () => {
        act();
        this.every(meanMs, act);
      },
      meanMs * (0.5 + this.random.next()),
    );
  }

  private randomBelow(bound: number): number {
    return Math.floor(this.random.next() * bound);
  }

  private latencyMs(): number {
    return 1 + this.randomBelow(10);
  }

  private isCutOff(index: number): boolean {
    return this.clock.now() < (this.cutOffUntilMs.get(index) ?? 0);
  }

  private isConnected(left: number, right: number): boolean {
    return !this.isCutOff(left) && !this.isCutOff(right);
  }

  private startGateway(index: number): CrashGateway {
    const { disablesSharing = false, clearsOnLoss = false } = this.variant;
    const gateway = new CrashGateway(this, index, disablesSharing, clearsOnLoss);
    if (this.variant.startsUnaware === true) {
      return gateway;
    }
    if (this.store.record !== undefined) {
      gateway.applyRecord(this.store.record);
    }
    for (const other of this.gateways) {
      if (other.index !== index && this.isConnected(index, other.index)) {
        const tallies = other.crashing.newestTallies();
        this.clock.setTimeout(() => this.deliver(other, gateway, tallies), 50);
      }
    }
    return gateway;
  }

  private restart(index: number): void {
    const stopped = this.gateways[index]!;
    stopped.stop();
    for (const engine of this.engines.values()) {
      engine.running = engine.running.filter(({ gateway }) => gateway !== stopped);
    }
    this.outOfTouchUntilMs.set(index, this.clock.now() + CONTACT_MS);
    this.gateways[index] = this.startGateway(index);
  }

  private restartAll(): void {
    const count = this.gateways.length;
    for (let index = 0; index < count; index += 1) {
      this.restart(index);
    }
  }

  private cutOff(): void {
    const index = this.randomBelow(this.scenario.gateways);
    const untilMs = this.clock.now() + this.randomBelow(4_000);
    this.cutOffUntilMs.set(index, untilMs);
    this.outOfTouchUntilMs.set(index, untilMs + CONTACT_MS);
    // A restored connection begins with the tallies of both sides.
    this.clock.setTimeout(() => this.exchange(index), untilMs - this.clock.now() + 50);
  }

  private exchange(index: number): void {
    const gateway = this.gateways[index]!;
    for (const other of this.gateways) {
      if (other !== gateway && this.isConnected(index, other.index)) {
        this.deliver(other, gateway, other.crashing.newestTallies());
        this.deliver(gateway, other, gateway.crashing.newestTallies());
      }
    }
  }

  private startEngine(index: number, upAtMs: number): void {
    this.lives += 1;
    this.engines.set(index, { id: `engine-${this.lives}`, running: [], upAtMs });
  }

  private pick(parts: readonly string[]): string {
    return parts[this.randomBelow(parts.length)]!;
  }

  private firstPart(): string {
    return this.random.next() < POPULAR_SHARE ? FIRST_PARTS[0]! : this.pick(FIRST_PARTS);
  }

  private soundParts(): string[] {
    const middle = this.pick(MIDDLE_PARTS);
    const rare = this.random.next() < 0.5 ? [`c${this.randomBelow(RARE_PARTS)}`] : [];
    return [this.firstPart(), middle, ...rare];
  }

  private requestOf(parts: readonly string[]): AcceptedRequest {
    this.bodies += 1;
    const own = `own${this.bodies}`;
    const sharedPromptParts = this.variant.blamesLastPart === true ? [own] : parts;
    return { ...PROTOTYPE, body: Buffer.from(own), sharedPromptParts };
  }

  private sendSound(): void {
    const isAfter = this.clock.now() > this.decidedAtMs() + 2 * CONTACT_MS;
    const sent = this.send(this.soundParts(), undefined);
    if (sent === 'no-engine') {
      return;
    }
    const refused = sent === 'refused' ? 1 : 0;
    this.counts.sound += 1;
    this.counts.soundRefused += refused;
    this.counts.soundAfter += isAfter ? 1 : 0;
    this.counts.soundRefusedAfter += isAfter ? refused : 0;
  }

  private decidedAtMs(): number {
    return Math.max(...this.culprits.map(({ fifthCrashAtMs }) => fifthCrashAtMs), OUTBREAK_AT_MS);
  }

  private sendCrashing(culprit: Culprit): void {
    const parts = this.soundParts();
    if (this.scenario.isFirstPart === true) {
      parts[0] = culprit.part;
    } else {
      parts.push(culprit.part);
    }
    this.send(parts, culprit);
  }

  private send(
    parts: readonly string[],
    culprit: Culprit | undefined,
  ): 'sent' | 'refused' | 'no-engine' {
    const gateway = this.gateways[this.randomBelow(this.gateways.length)]!;
    const nowMs = this.clock.now();
    const up = [...this.engines].filter(([, { upAtMs }]) => nowMs >= upAtMs);
    const [index, engine] = up[this.randomBelow(up.length)] ?? [];
    if (index === undefined || engine === undefined) {
      return 'no-engine';
    }
    const request = this.requestOf(parts);
    if (gateway.crashing.refusalOf(request) !== undefined) {
      if (this.variant.clearsOnRefusal === true) {
        gateway.crashing.recordServed(request, 200);
      }
      return 'refused';
    }
    const run = gateway.crashing.beginRun(request, backendOf(engine.id));
    const entry = { gateway, run };
    engine.running.push(entry);
    if (culprit === undefined) {
      this.clock.setTimeout(() => this.complete(engine.running, entry), 50 + this.randomBelow(750));
      return 'sent';
    }
    const isInTouch = nowMs >= (this.outOfTouchUntilMs.get(gateway.index) ?? 0);
    culprit.afterRestore += nowMs > this.restoredAtMs ? 1 : 0;
    culprit.late += isInTouch && nowMs > culprit.fifthCrashAtMs + CONTACT_MS ? 1 : 0;
    this.clock.setTimeout(
      () => this.endUnder(culprit, index, engine.id),
      20 + this.randomBelow(200),
    );
    return 'sent';
  }

  private complete(running: Running[], entry: Running): void {
    const position = running.indexOf(entry);
    if (position === -1) {
      return;
    }
    running.splice(position, 1);
    if (this.variant.disablesClearance !== true) {
      entry.gateway.crashing.recordServed(entry.run.request, 200);
    }
  }

  private endUnder(culprit: Culprit, index: number, id: string): void {
    if (this.engines.get(index)!.id !== id) {
      return;
    }
    culprit.ended += 1;
    if (culprit.ended === TOLERATED_CRASHES) {
      culprit.fifthCrashAtMs = this.clock.now();
    }
    if (this.scenario.hasStoreOutage === true && this.storeDownUntilMs === 0) {
      this.storeDownUntilMs = this.clock.now() + STORE_OUTAGE_MS;
    }
    this.endEngine(index);
  }

  private endEngine(index: number): void {
    const { id, running, upAtMs } = this.engines.get(index)!;
    if (this.clock.now() < upAtMs) {
      return;
    }
    const downtimeMs = 1_500 + this.randomBelow(2_000);
    const ended = running.splice(0);
    this.startEngine(index, this.clock.now() + downtimeMs);
    // Without an agent beside the engine, its end shows when the next process is announced.
    const detectionMs =
      this.random.next() < 0.8 ? 5 + this.randomBelow(60) : downtimeMs + this.randomBelow(300);
    for (const { gateway, run } of ended) {
      this.clock.setTimeout(() => gateway.interruptRun(run), 1 + this.randomBelow(4));
    }
    for (const gateway of this.gateways) {
      this.clock.setTimeout(() => gateway.crashing.recordBackendExit(id, 'agent'), detectionMs);
    }
  }
}
