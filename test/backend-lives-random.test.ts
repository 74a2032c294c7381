/** Back ends that end and start again under their names, while words of former lives come late or not at all. */
import test from 'ava';
import { SeededRandom } from '../src/random.js';
import { BackendLives } from '../src/routing/backend-lives.js';
import type { Announcement } from '../src/routing/backend-lives.js';
import { backendOf, GatewayWorld, routeOf } from './support/gateway.js';
import type { SeenAttempt } from './support/gateway.js';

const SEEDS = 200;
const STEPS = 120;
const NAMES = ['a', 'b', 'c'];
const ROUTE = routeOf({ kind: 'unsafe', maxAttempts: 1, timeoutMs: 600_000 });
const RESET = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };

interface Run {
  readonly name: string;
  readonly bornAtMs: number;
  readonly attempt: SeenAttempt;
  readonly index: number;
}

/** A gateway, and what is true of the back ends that it hears of. */
class LivesWorld {
  private readonly random: SeededRandom;
  private readonly gateway = new GatewayWorld();
  private readonly lives = new BackendLives();
  private readonly bornAtMs = new Map(NAMES.map((name) => [name, 1]));
  /** Lives that the gateway was told of last, by name. */
  private readonly told = new Map<string, number>();
  /** The newest that it was ever told of: an earlier one is over, whatever is said of it. */
  private readonly newest = new Map<string, number>();
  private runs: Run[] = [];
  private revision = 0;

  constructor(
    seed: number,
    /** Broken variant: lives are told apart by their names alone. */
    private readonly isByName: boolean,
  ) {
    this.random = new SeededRandom(seed);
    NAMES.forEach((name) => this.announce(name, 1));
  }

  /** Returns the first step after which the gateway believed what is not so. */
  play(): string | undefined {
    const acts = [
      () => this.startAnew(),
      () => this.announce(this.anyName(), undefined),
      () => this.lateWord(),
      () => this.begin(),
      () => this.begin(),
      () => this.end(),
      () => this.lapse(),
    ];
    for (let step = 0; step < STEPS; step += 1) {
      const before = this.gateway.attempts.length;
      acts[Math.floor(this.random.next() * acts.length)]!();
      this.noteRuns(before);
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

  private take(name: string, announcement: Announcement | undefined): void {
    for (const { id, backend } of this.lives.take(name, announcement).changes) {
      this.gateway.dispatcher.updateBackend(id, backend, this.gateway.clock.now());
    }
  }

  /** A back end announces its life, or one that is over does so late. */
  private announce(name: string, bornAtMs = this.bornAtMs.get(name)!): void {
    this.revision += 1;
    const announcement = { ...backendOf(name), slots: 3, address: `${name}:1` };
    const newest = Math.max(bornAtMs, this.newest.get(name) ?? 0);
    this.newest.set(name, newest);
    if (bornAtMs === newest) {
      this.told.set(name, bornAtMs);
    }
    const told = this.isByName ? undefined : bornAtMs;
    this.take(name, { ...announcement, name, bornAtMs: told, revision: this.revision });
  }

  private startAnew(): void {
    const name = this.anyName();
    this.bornAtMs.set(name, this.bornAtMs.get(name)! + 1);
    // The word of it may be lost, or come with the next heartbeat.
    if (this.random.next() < 0.7) {
      this.announce(name);
    }
  }

  private lateWord(): void {
    const name = this.anyName();
    const bornAtMs = this.bornAtMs.get(name)!;
    this.announce(name, Math.max(1, bornAtMs - 1));
  }

  private lapse(): void {
    const name = this.anyName();
    this.take(name, undefined);
    this.told.delete(name);
    if (this.random.next() < 0.8) {
      this.announce(name);
    }
  }

  private begin(): void {
    this.gateway.request({ route: ROUTE });
  }

  private noteRuns(from: number): void {
    for (let index = from; index < this.gateway.attempts.length; index += 1) {
      const attempt = this.gateway.attempts[index]!;
      const { name } = attempt.backend;
      this.runs.push({ name, bornAtMs: this.told.get(name) ?? 0, attempt, index });
    }
  }

  /** A run ends, which of whatever life. */
  private end(): void {
    const run = this.runs[Math.floor(this.random.next() * this.runs.length)];
    if (run === undefined) {
      return;
    }
    this.runs = this.runs.filter((each) => each !== run);
    if (run.bornAtMs < this.bornAtMs.get(run.name)!) {
      run.attempt.handlers.onFailure(RESET);
    } else {
      this.gateway.answer(run.index, 200, 'good');
    }
  }

  private findProblem(): string | undefined {
    for (const [name, bornAtMs] of this.told) {
      const id = this.isByName ? name : `${name}@${bornAtMs}`;
      const known = this.gateway.directory.find(id);
      const atWork = this.runs.filter((run) => run.name === name && run.bornAtMs === bornAtMs);
      if (known?.isReady !== true) {
        return `${id} is announced and not used`;
      }
      if (known.outstanding !== atWork.length) {
        return `${id} has ${atWork.length} at work, not ${known.outstanding}`;
      }
    }
    return undefined;
  }
}

function playAll(isByName: boolean): Array<string | undefined> {
  return Array.from({ length: SEEDS }, (_unused, seed) => new LivesWorld(seed, isByName).play());
}

test('a gateway counts at each life of a back end what is at work there, whatever comes late or not at all', (t) => {
  t.deepEqual(
    playAll(false).filter((problem) => problem !== undefined),
    [],
  );
});

test('a gateway that tells lives apart by their names alone counts wrongly', (t) => {
  t.true(playAll(true).some((problem) => problem !== undefined));
});
