/** Reports about backends in random order, while sound backends fall silent, leave and restart. */
import { deepStrictEqual } from 'node:assert/strict';
import fc from 'fast-check';
import test from 'ava';
import { ExitHarness } from './support/exit-harness.js';
import { routeOf } from './support/gateway-harness.js';
import type { RecordedAttempt, RecordedReply } from './support/gateway-harness.js';

const UNSAFE_PATH = '/unsafe/';
const STREAM_PATH = '/stream/';
const TIMEOUT_MS = 12_000;
const ROUTES = [
  routeOf({ name: 'u', kind: 'unsafe', pathPrefix: UNSAFE_PATH, timeoutMs: TIMEOUT_MS }),
  routeOf({ name: 's', kind: 'stream', pathPrefix: STREAM_PATH, timeoutMs: TIMEOUT_MS }),
];
const NAMES = ['w0', 'w1', 'w2'];
const TICK_MS = 100;
const SCENARIO_MS = 10_000;
/** Time by which every request has ended, in milliseconds. */
const END_MS = 24_000;
/** Silence after which an agent reports its engine as silent, in milliseconds. */
const AGENT_PATIENCE_MS = 400;
const EVENTS = 15;
const RUNS = 300;
const SEED = 90;
const OK_HEAD = { status: 200, rawHeaders: [], headers: {} };
const RESET = { mayHaveRun: true, isPortClosed: false, detail: 'reset' };
const REFUSED = { mayHaveRun: false, isPortClosed: true, detail: 'refused' };

const INCIDENTS = [
  'silence',
  'drain',
  'leave-unannounced',
  'replace-elsewhere',
  'restart',
  'lapse',
  'path-lost',
  'evacuation',
  'rollout',
  'agent-lost',
  'store-outage',
] as const;

interface Incident {
  readonly kind: (typeof INCIDENTS)[number];
  readonly atMs: number;
  readonly backend: number;
  readonly forMs: number;
}

interface Arrival {
  readonly atMs: number;
  readonly path: string;
  /** Time that its backend works on it while it is not silent, in milliseconds. */
  readonly workMs: number;
}

/** A process that serves; it ends only in a restart. */
interface Process {
  readonly name: string;
  readonly bornAtMs: number;
  readonly address: string;
  isPortClosed: boolean;
  silentSinceMs: number;
  silentUntilMs: number;
  hasEnded: boolean;
}

/** An attempt as its process has it. */
interface Run {
  readonly attempt: RecordedAttempt;
  readonly process: Process;
  readonly workMs: number;
  readonly deadlineAtMs: number;
  workedMs: number;
  events: number;
  isOver: boolean;
}

/** Backends, their agents and the store, of which one gateway knows what reached it. */
class Scenario {
  readonly world = new ExitHarness(...ROUTES);
  /** Attempts that the gateway ended although their process served on. */
  readonly ended: string[] = [];
  unanswered = 0;
  private readonly runs: Run[] = [];
  private readonly processes = new Map<string, Process>();
  private readonly written: Array<() => void> = [];
  private storeAwayUntilMs = 0;
  private seenAttempts = 0;
  private births = 0;
  private readonly agentsAwayUntilMs = new Map<string, number>();

  constructor(
    private readonly incidents: readonly Incident[],
    private readonly arrivals: readonly Arrival[],
  ) {
    this.world.gateway.engines = true;
    NAMES.forEach((name) => this.startProcess(name, `${name}:1`));
    this.deliver();
  }

  async run(): Promise<void> {
    const { clock } = this.world.gateway;
    const replies = this.arrivals.map(() => undefined as undefined | RecordedReply);
    for (let nowMs = 0; nowMs < END_MS; nowMs += TICK_MS) {
      const isDue = ({ atMs }: { atMs: number }) => atMs >= nowMs && atMs < nowMs + TICK_MS;
      this.incidents.filter(isDue).forEach((incident) => this.strike(incident));
      this.arrivals.forEach((arrival, index) => {
        if (isDue(arrival)) {
          replies[index] = this.world.request(arrival.path);
          this.takeAttempts(arrival.workMs);
        }
      });
      this.deliver();
      this.reportAll();
      this.takeAttempts(TICK_MS);
      this.work();
      await clock.runUntil(nowMs + TICK_MS);
      this.takeAttempts(TICK_MS);
      this.check();
    }
    this.unanswered = replies.filter(
      (reply) => reply?.isEnded === false && !reply.isAborted,
    ).length;
  }

  private get nowMs(): number {
    return this.world.gateway.clock.now();
  }

  private startProcess(name: string, address: string): void {
    this.births += 1;
    const bornAtMs = 1_000 + this.births;
    this.processes.set(name, {
      name,
      bornAtMs,
      address,
      isPortClosed: false,
      silentSinceMs: 0,
      silentUntilMs: 0,
      hasEnded: false,
    });
    this.write(() => this.world.announce(name, { bornAtMs, address }));
  }

  private write(record: () => void): void {
    this.written.push(record);
  }

  private deliver(): void {
    if (this.nowMs < this.storeAwayUntilMs) {
      return;
    }
    this.written.splice(0).forEach((record) => record());
    this.world.viewedAtMs = this.nowMs;
  }

  private strike({ kind, backend, forMs }: Incident): void {
    const name = NAMES[backend]!;
    const process = this.processes.get(name)!;
    const { bornAtMs, address } = process;
    const { gateway } = this.world;
    const known = gateway.directory.find(`${name}@${bornAtMs}`);
    if (kind === 'silence') {
      process.silentSinceMs = this.nowMs;
      process.silentUntilMs = this.nowMs + forMs;
    } else if (kind === 'drain') {
      process.isPortClosed = true;
      this.write(() => this.world.announce(name, { bornAtMs, address, state: 'draining' }));
    } else if (kind === 'replace-elsewhere') {
      process.isPortClosed = true;
      this.startProcess(name, `${name}-${this.births}:1`);
    } else if (kind === 'leave-unannounced') {
      process.isPortClosed = true;
      this.write(() => this.world.announce(name, undefined));
    } else if (kind === 'restart') {
      process.hasEnded = true;
      this.runs
        .filter((run) => run.process === process && !run.isOver)
        .forEach((run) => this.endRun(run, () => run.attempt.handlers.onFailure(RESET)));
      this.startProcess(name, address);
    } else if (kind === 'lapse' && !process.isPortClosed) {
      this.write(() => this.world.announce(name, undefined));
      gateway.clock.setTimeout(() => this.announceAgain(process), forMs);
    } else if (kind === 'path-lost') {
      known?.path.suspect('connection-hung', this.nowMs);
      known?.path.notifyLost();
    } else if (kind === 'evacuation') {
      gateway.order('z', !gateway.evacuatedZones.has('z'));
      gateway.requests.withdrawUnsent();
    } else if (kind === 'rollout') {
      const use = gateway.versionUses.get('v1') === 'closed' ? 'open' : 'closed';
      gateway.dispatcher.changeOrders(() => void gateway.versionUses.set('v1', use), this.nowMs);
      gateway.requests.withdrawUnsent();
    } else if (kind === 'agent-lost') {
      gateway.dispatcher.disconnectAgent(`${name}@${bornAtMs}`, this.nowMs);
      this.agentsAwayUntilMs.set(name, this.nowMs + forMs);
    } else if (kind === 'store-outage') {
      this.storeAwayUntilMs = this.nowMs + forMs * 3;
    }
  }

  private announceAgain(process: Process): void {
    const { name, bornAtMs, address, hasEnded, isPortClosed } = process;
    if (!hasEnded && !isPortClosed && this.processes.get(name) === process) {
      this.write(() => this.world.announce(name, { bornAtMs, address }));
    }
  }

  /** Each agent tells all that are known at its address what it finds there. */
  private reportAll(): void {
    const { gateway } = this.world;
    for (const known of gateway.directory.list()) {
      const { id, address } = known.backend;
      const name = String(known.backend.name);
      if (this.nowMs < (this.agentsAwayUntilMs.get(name) ?? 0)) {
        continue;
      }
      if (known.agent === undefined) {
        this.world.connectAgent(id);
      }
      const process = this.processes.get(name)!;
      const isThere = process.address === address && !process.isPortClosed;
      if (!isThere) {
        this.world.receiveState(id, { availability: 'closed', hasEnded: true });
      } else if (this.isSilent(process) && this.nowMs - process.silentSinceMs > AGENT_PATIENCE_MS) {
        this.world.receiveState(id, { availability: 'closed', bornAtMs: process.bornAtMs });
      } else if (!this.isSilent(process)) {
        this.reportRunning(id, known.backend.bornAtMs!, process.bornAtMs);
      }
    }
  }

  private reportRunning(id: string, announcedBornAtMs: number, bornAtMs: number): void {
    if (bornAtMs > announcedBornAtMs) {
      const ended = { hasEnded: true, endedBornBeforeMs: bornAtMs } as const;
      this.world.receiveState(id, { availability: 'closed', ...ended });
    }
    this.world.receiveState(id, { bornAtMs });
  }

  private isSilent({ silentUntilMs }: Process): boolean {
    return this.nowMs < silentUntilMs;
  }

  private takeAttempts(workMs: number): void {
    const { attempts } = this.world.gateway;
    for (; this.seenAttempts < attempts.length; this.seenAttempts += 1) {
      const attempt = attempts[this.seenAttempts]!;
      const process = this.processes.get(String(attempt.backend.name))!;
      const isOpen = process.address === attempt.backend.address && !process.isPortClosed;
      if (isOpen) {
        const { headers } = attempt;
        const deadlineAtMs = this.nowMs + Number(headers[headers.indexOf('remaining') + 1]);
        const progress = { workedMs: 0, events: 0, isOver: false };
        this.runs.push({ attempt, process, workMs, deadlineAtMs, ...progress });
      } else {
        attempt.handlers.onFailure(REFUSED);
      }
    }
  }

  private work(): void {
    for (const run of this.runs) {
      if (!run.isOver && !run.attempt.isCancelled && !this.isSilent(run.process)) {
        run.workedMs += TICK_MS;
        this.respond(run);
      }
    }
  }

  private respond(run: Run): void {
    const { handlers, path } = run.attempt;
    if (run.workedMs < run.workMs) {
      return;
    }
    if (path.startsWith(UNSAFE_PATH)) {
      this.endRun(run, () => {
        handlers.onHead(OK_HEAD);
        handlers.onData(Buffer.from('good'));
        handlers.onEnd();
      });
      return;
    }
    if (run.events === 0) {
      handlers.onHead(OK_HEAD);
    }
    run.events += 1;
    handlers.onData(Buffer.from(`id: ${run.events}\ndata: x\n\n`));
    if (run.events === EVENTS) {
      this.endRun(run, () => handlers.onEnd());
    }
  }

  private endRun(run: Run, end: () => void): void {
    run.isOver = true;
    end();
  }

  private check(): void {
    for (const run of this.runs) {
      if (run.attempt.isCancelled && !run.isOver && this.nowMs < run.deadlineAtMs) {
        run.isOver = true;
        this.ended.push(`${run.attempt.backend.id} at ${this.nowMs}`);
      }
    }
  }
}

const INCIDENT = fc.record({
  kind: fc.constantFrom(...INCIDENTS),
  atMs: fc.integer({ min: 0, max: SCENARIO_MS }),
  backend: fc.nat(NAMES.length - 1),
  forMs: fc.integer({ min: 300, max: 1_500 }),
});
const ARRIVAL = fc.record({
  atMs: fc.integer({ min: 0, max: SCENARIO_MS }),
  path: fc.constantFrom(UNSAFE_PATH, STREAM_PATH),
  workMs: fc.integer({ min: 100, max: 4_000 }),
});

test('no request at a sound backend is ended by reports in any order', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(INCIDENT, { minLength: 1, maxLength: 12 }),
      fc.array(ARRIVAL, { minLength: 4, maxLength: 16 }),
      async (incidents, arrivals) => {
        const scenario = new Scenario(incidents, arrivals);
        await scenario.run();
        deepStrictEqual([scenario.ended, scenario.unanswered], [[], 0]);
      },
    ),
    { numRuns: RUNS, seed: SEED },
  );
  t.pass();
});
