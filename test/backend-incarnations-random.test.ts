/**
 * Random restarts of backends under one name, with delayed or lost announcements of earlier
 * incarnations.
 */
import test from 'ava';
import { headerValue } from '../src/http/header-value.js';
import { SeededRandom } from '../src/random.js';
import { BackendIncarnations } from '../src/routing/backend-incarnations.js';
import type { Announcement } from '../src/routing/backend-incarnations.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';
import type { RecordedAttempt } from './support/gateway-harness.js';

const SEEDS = 200;
const STEPS = 120;
const NAMES = ['a', 'b', 'c'];
const ROUTE = routeOf({ kind: 'unsafe', maxAttempts: 1, timeoutMs: 600_000 });
const RESET = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };

interface RunningRequest {
  readonly name: string;
  readonly bornAtMs: number;
  readonly attempt: RecordedAttempt;
  readonly index: number;
}

/** A gateway, and the actual state of the backends that it receives announcements of. */
class IncarnationHarness {
  private readonly random: SeededRandom;
  private readonly gateway = new GatewayHarness();
  private readonly incarnations = new BackendIncarnations();
  private readonly currentStartMs = new Map(NAMES.map((name) => [name, 1]));
  /** Start time of the incarnation announced last, by name; missing once its record expired. */
  private readonly announced = new Map<string, number>();
  /**
   * Latest start time ever announced, by name: earlier incarnations have ended, even if announced
   * again.
   */
  private readonly newest = new Map<string, number>();
  private runs: RunningRequest[] = [];
  private revision = 0;

  constructor(
    seed: number,
    /** Fault: incarnations are identified by name alone. */
    private readonly ignoresStartTimes: boolean,
  ) {
    this.random = new SeededRandom(seed);
    NAMES.forEach((name) => this.announce(name, 1));
  }

  /** Returns the first step after which the gateway's state is wrong. */
  run(): string | undefined {
    const actions = [
      () => this.restart(),
      () => this.announce(this.anyName(), undefined),
      () => this.announceLate(),
      () => this.startRequest(),
      () => this.startRequest(),
      () => this.endRequest(),
      () => this.expireRecord(),
    ];
    for (let step = 0; step < STEPS; step += 1) {
      const before = this.gateway.attempts.length;
      actions[Math.floor(this.random.next() * actions.length)]!();
      this.recordRuns(before);
      const problem = this.findProblem();
      if (problem !== undefined) {
        return `step ${step}: ${problem}`;
      }
    }
    return undefined;
  }

  private anyName(): string {
    return NAMES[Math.floor(this.random.next() * NAMES.length)]!;
  }

  private applyRecord(name: string, announcement: Announcement | undefined): void {
    for (const { id, backend } of this.incarnations.apply(name, announcement).changes) {
      this.gateway.dispatcher.updateBackend(id, backend, this.gateway.clock.now());
    }
  }

  /** Announces the current incarnation, or an earlier one late. */
  private announce(name: string, bornAtMs = this.currentStartMs.get(name)!): void {
    this.revision += 1;
    const announcement = { ...backendOf(name), slots: 3, address: `${name}:1` };
    const newest = Math.max(bornAtMs, this.newest.get(name) ?? 0);
    this.newest.set(name, newest);
    if (bornAtMs === newest) {
      this.announced.set(name, bornAtMs);
    }
    const announcedStartMs = this.ignoresStartTimes ? undefined : bornAtMs;
    this.applyRecord(name, {
      ...announcement,
      name: headerValue(name),
      bornAtMs: announcedStartMs,
      revision: this.revision,
    });
  }

  private restart(): void {
    const name = this.anyName();
    this.currentStartMs.set(name, this.currentStartMs.get(name)! + 1);
    // The announcement may be lost, or sent with the next heartbeat.
    if (this.random.next() < 0.7) {
      this.announce(name);
    }
  }

  private announceLate(): void {
    const name = this.anyName();
    const bornAtMs = this.currentStartMs.get(name)!;
    this.announce(name, Math.max(1, bornAtMs - 1));
  }

  private expireRecord(): void {
    const name = this.anyName();
    this.applyRecord(name, undefined);
    this.announced.delete(name);
    if (this.random.next() < 0.8) {
      this.announce(name);
    }
  }

  private startRequest(): void {
    this.gateway.request({ route: ROUTE });
  }

  private recordRuns(from: number): void {
    for (let index = from; index < this.gateway.attempts.length; index += 1) {
      const attempt = this.gateway.attempts[index]!;
      const { name } = attempt.backend;
      this.runs.push({ name, bornAtMs: this.announced.get(name) ?? 0, attempt, index });
    }
  }

  /** Ends a random request, at whichever incarnation it runs. */
  private endRequest(): void {
    const run = this.runs[Math.floor(this.random.next() * this.runs.length)];
    if (run === undefined) {
      return;
    }
    this.runs = this.runs.filter((each) => each !== run);
    if (run.bornAtMs < this.currentStartMs.get(run.name)!) {
      run.attempt.handlers.onFailure(RESET);
    } else {
      this.gateway.answer(run.index, 200, 'good');
    }
  }

  private findProblem(): string | undefined {
    for (const [name, bornAtMs] of this.announced) {
      const id = this.ignoresStartTimes ? name : `${name}@${bornAtMs}`;
      const known = this.gateway.directory.find(id);
      const running = this.runs.filter((run) => run.name === name && run.bornAtMs === bornAtMs);
      if (known?.isReady !== true) {
        return `${id} is announced but not ready`;
      }
      if (known.outstanding !== running.length) {
        return `${id} runs ${running.length} requests, counted ${known.outstanding}`;
      }
    }
    return undefined;
  }
}

function runAll(ignoresStartTimes: boolean): Array<string | undefined> {
  return Array.from({ length: SEEDS }, (_unused, seed) =>
    new IncarnationHarness(seed, ignoresStartTimes).run(),
  );
}

test('a gateway counts the running requests of each incarnation despite late or lost announcements', (t) => {
  t.deepEqual(
    runAll(false).filter((problem) => problem !== undefined),
    [],
  );
});

test('the check detects a gateway that identifies incarnations by name alone', (t) => {
  t.true(runAll(true).some((problem) => problem !== undefined));
});
