/** Random orders of events at the backends of one stream that moves between them. */
import test from 'ava';
import fc from 'fast-check';
import type { DepartureCause } from '../src/gateway/attempt/attempt-departure.js';
import { BackendMove } from '../src/gateway/attempt/backend-move.js';
import { ProcessCheck } from '../src/gateway/attempt/process-check.js';
import type { ProxiedRequest } from '../src/gateway/attempt/proxied-request.js';
import { headerValue } from '../src/http/header-value.js';
import { RetryReservation } from '../src/gateway/attempt/retry-reservation.js';
import { softwareVersionOf } from '../src/streams/software-version.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';
import type { RecordedAttempt, RecordedReply } from './support/gateway-harness.js';

const RUNS = 2_000;
const RETRIES = 10;
const EVENTS = 6;
const BORN_AT_MS = 5;
const OTHER_BORN_AT_MS = 9;
const ROUTE = routeOf({
  kind: 'stream',
  isResumable: true,
  targetLatencyMs: 500,
  timeoutMs: 9_000,
});
const OK_HEAD = { status: 200, rawHeaders: [], headers: {} };
const NOT_RUN = { status: 503, rawHeaders: [], headers: { 'not-run': '1' } };
const FAILED = { status: 500, rawHeaders: [], headers: {} };
const VERSION = softwareVersionOf({ id: 'a', version: 'v1' });

const BACKEND_ACTIONS = [
  'head',
  'bytes',
  'bytes',
  'bytes',
  'finish',
  'finish',
  'notRun',
  'serverError',
  'reset',
  'unsent',
  'identify',
  'identify',
  'identifyOther',
  'replaceProcess',
  'unidentified',
] as const;
const OTHER_ACTIONS = [
  'lostPath',
  'drain',
  'ended',
  'withdraw',
  'backpressure',
  'drained',
  'competitor',
  'leave',
] as const;

type Action =
  | {
      readonly kind: (typeof BACKEND_ACTIONS)[number];
      readonly attempt: number;
      readonly size: number;
    }
  | { readonly kind: (typeof OTHER_ACTIONS)[number]; readonly backend: number };

interface Step {
  readonly afterMs: number;
  readonly action: Action;
}

interface Scenario {
  readonly backends: number;
  readonly maxAttempts: number;
  readonly isTakenUp: boolean;
  readonly isReported: boolean;
  readonly chargeDelayMs: number;
  /** Whether the first backend sends two events and is silent then. */
  readonly isMoved: boolean;
  readonly steps: readonly Step[];
}

const SCENARIO: fc.Arbitrary<Scenario> = fc.record({
  backends: fc.integer({ min: 2, max: 3 }),
  maxAttempts: fc.integer({ min: 2, max: 3 }),
  isTakenUp: fc.boolean(),
  isReported: fc.boolean(),
  chargeDelayMs: fc.constantFrom(0, 0, 150),
  isMoved: fc.boolean(),
  steps: fc.array(
    fc.record({
      afterMs: fc.constantFrom(0, 0, 20, 100, 350, 1_300),
      action: fc.oneof(
        {
          weight: 5,
          arbitrary: fc.record({
            kind: fc.constantFrom(...BACKEND_ACTIONS),
            attempt: fc.integer({ min: 0, max: 2 }),
            size: fc.integer({ min: 1, max: 60 }),
          }),
        },
        {
          weight: 1,
          arbitrary: fc.record({
            kind: fc.constantFrom(...OTHER_ACTIONS),
            backend: fc.integer({ min: 0, max: 2 }),
          }),
        },
      ),
    }),
    { maxLength: 25 },
  ),
});

const MOVE: readonly Step[] = [
  { afterMs: 0, action: { kind: 'identify', attempt: 0, size: 0 } },
  { afterMs: 0, action: { kind: 'bytes', attempt: 0, size: 2 * eventOf(1, 'v1').length } },
  { afterMs: 1_500, action: { kind: 'identify', attempt: 0, size: 0 } },
];

function eventOf(id: number, version: string): string {
  return `id: ${id}\ndata: ${version}\n\n`;
}

/** What a backend has done with an attempt. */
class BackendRun {
  hasHead = false;
  isOver = false;
  isIdentified = false;
  private sent = 0;
  private bornAtMs = BORN_AT_MS;
  private readonly firstId: number;

  constructor(readonly attempt: RecordedAttempt) {
    const { headers } = attempt;
    this.firstId = Number(headers[headers.indexOf('last-event') + 1] || '0') + 1;
  }

  get isCancelled(): boolean {
    return this.attempt.isCancelled;
  }

  /** Whether its events may follow those of the stream as far as its process decides it. */
  get mayBeUsed(): boolean {
    return this.bornAtMs === BORN_AT_MS || this.attempt.needsProcess !== true;
  }

  get isSound(): boolean {
    return !this.isOver && !this.isCancelled && this.bornAtMs === BORN_AT_MS;
  }

  /** Lets the process be another one, as long as it has shown nothing of itself. */
  replaceProcess(): boolean {
    const isReplaced = !this.isIdentified && !this.hasHead;
    this.bornAtMs = isReplaced ? OTHER_BORN_AT_MS : this.bornAtMs;
    return isReplaced;
  }

  identify(): void {
    if (this.attempt.needsProcess === true && !this.isIdentified) {
      this.isIdentified = true;
      this.attempt.handlers.onProcess?.({ bornAtMs: this.bornAtMs, source: 'agent' });
    }
  }

  failIdentification(): void {
    if (this.attempt.needsProcess === true && !this.isIdentified) {
      this.isIdentified = true;
      this.isOver ||= this.isCancelled;
      this.attempt.handlers.onProcess?.(undefined);
    }
  }

  sendHead(): void {
    if (!this.hasHead) {
      this.hasHead = true;
      this.attempt.handlers.onHead(OK_HEAD);
    }
  }

  private get text(): string {
    const version = this.bornAtMs === BORN_AT_MS ? 'v1' : 'other';
    const ids = Array.from({ length: Math.max(0, EVENTS - this.firstId + 1) }, (_, index) =>
      eventOf(this.firstId + index, version),
    );
    return ids.join('');
  }

  sendBytes(size: number): void {
    this.sendHead();
    const part = this.text.slice(this.sent, this.sent + size);
    this.sent += part.length;
    if (part.length > 0 && !this.isCancelled) {
      this.attempt.handlers.onData(Buffer.from(part));
    }
  }

  finish(): void {
    this.sendBytes(Infinity);
    if (!this.isCancelled) {
      this.isOver = true;
      this.attempt.handlers.onEnd();
    }
  }
}

/** One stream in a gateway, and the state of its backends. */
class RandomRun {
  readonly world: GatewayHarness;
  readonly reply: RecordedReply;
  private readonly request: ProxiedRequest;
  private readonly runs: BackendRun[] = [];
  private hasLeft = false;
  private readonly ids: readonly string[];
  /** The first check that failed while the events were played. */
  problem: string | undefined;

  constructor(private readonly scenario: Scenario) {
    this.ids = ['a', 'b', 'c'].slice(0, scenario.backends);
    const backends = this.ids.map((id) => backendOf(id, { slots: 1, bornAtMs: BORN_AT_MS }));
    this.world = new GatewayHarness(...backends);
    if (!scenario.isReported) {
      this.ids.forEach((id) => this.world.unreportedBackendIds.add(id));
    }
    if (scenario.chargeDelayMs > 0) {
      this.world.charge = (onResult) =>
        void this.world.clock.setTimeout(() => onResult(true), scenario.chargeDelayMs);
    }
    const route = { ...ROUTE, maxAttempts: scenario.maxAttempts };
    const { reply, request } = this.world.request({
      route,
      resumedVersion: scenario.isTakenUp ? VERSION : undefined,
    });
    this.reply = reply;
    this.request = request;
    this.noteAttempts();
  }

  async play(): Promise<void> {
    const { isMoved, steps } = this.scenario;
    for (const { afterMs, action } of isMoved ? [...MOVE, ...steps] : steps) {
      const hadSound = this.soundRuns();
      await this.world.clock.runUntil(this.world.clock.now() + Math.max(afterMs, 0.2));
      this.noteAttempts();
      this.checkKept(hadSound, undefined, 'a timer');
      const before = this.soundRuns();
      const actor = this.perform(action);
      this.noteAttempts();
      this.checkKept(before, actor, action.kind);
    }
    await this.world.clock.runUntil(ROUTE.timeoutMs + 1_000);
    this.noteAttempts();
  }

  /** Checks that hold at the end; returns the first one that fails. */
  verify(): string | undefined {
    const { world, reply, runs, ids } = this;
    const whole = Array.from({ length: EVENTS }, (_, index) => eventOf(index + 1, 'v1')).join('');
    // A stream that was taken up began at the announced version.
    const other = this.scenario.isTakenUp ? whole : whole.replaceAll('v1', 'other');
    const outstanding = ids.map((id) => world.directory.find(id)!.outstanding);
    const arrivals = runs.filter(({ attempt }) => !this.unsent.has(attempt)).length;
    const repeats = Math.max(0, runs.length - 1);
    const spent = RETRIES - world.repeatsLeft;
    const used = new Set(
      runs.filter((run) => !this.unsent.has(run.attempt)).map((run) => run.attempt.backend.id),
    );
    const checks: ReadonlyArray<readonly [string, boolean]> = [
      [this.problem ?? '', this.problem === undefined],
      [
        'one version, in order',
        whole.startsWith(reply.body) || other.startsWith(reply.body) || reply.status >= 400,
      ],
      [
        'complete only if whole',
        !reply.isEnded || reply.status >= 400 || [whole, other].includes(reply.body),
      ],
      ['ended once', this.hasLeft || reply.isEnded !== reply.isAborted],
      ['slots released', outstanding.every((count) => count === 0)],
      ['attempts over', runs.every((run) => run.isOver || run.isCancelled)],
      ['retries taken in vain', spent <= repeats],
      ['arrivals beyond the retries taken', arrivals - 1 <= spent],
      ['charges', world.chargedRetries - world.refundedRetries <= repeats],
      ['attempts allowed', used.size <= this.scenario.maxAttempts],
      ['one end', this.ends === 1],
    ];
    return checks.find(([, holds]) => !holds)?.[0];
  }

  private readonly unsent = new Set<RecordedAttempt>();

  /** How often the request has ended. */
  private get ends(): number {
    return this.world.endedRequests.filter(([{ requestId }]) => requestId === 'q').length;
  }

  private soundRuns(): BackendRun[] {
    return this.runs.filter((run) => run.isSound);
  }

  /** An attempt at a sound backend ends only for another one, which goes on. */
  private checkKept(
    before: readonly BackendRun[],
    actor: BackendRun | undefined,
    cause: string,
  ): void {
    const isAbandoned = before.some((run) => run !== actor) && this.ends > 0;
    const isCancelled = before.some(
      (run) =>
        run !== actor &&
        run.isCancelled &&
        !this.runs.some((other) => other !== run && other.hasHead && other.mayBeUsed),
    );
    const isInTime = this.world.clock.now() < ROUTE.timeoutMs - 1;
    const isAnswered = this.reply.isEnded || this.hasLeft;
    if (isCancelled && isInTime && !this.hasLeft && cause !== 'lostPath') {
      this.problem ??= `an attempt at a sound backend was cancelled by ${cause}`;
    }
    if (isAbandoned && isInTime && !isAnswered) {
      this.problem ??= `a sound backend's stream ended by ${cause}`;
    }
  }

  private noteAttempts(): void {
    for (const attempt of this.world.attempts.slice(this.seen)) {
      this.seen += 1;
      if (attempt.headers.includes('q')) {
        const run = new BackendRun(attempt);
        run.isIdentified = this.scenario.isReported;
        this.runs.push(run);
      }
    }
  }

  private seen = 0;

  private perform(action: Action): BackendRun | undefined {
    if ('backend' in action) {
      this.performElsewhere(action.kind, this.ids[action.backend % this.ids.length]!);
      return undefined;
    }
    const run = this.runs[action.attempt];
    if (run !== undefined && !run.isCancelled && !run.isOver) {
      this.performAt(run, action.kind, action.size);
    }
    return run;
  }

  private performAt(run: BackendRun, kind: (typeof BACKEND_ACTIONS)[number], size: number): void {
    const { handlers } = run.attempt;
    const actions: Record<typeof kind, () => void> = {
      head: () => run.sendHead(),
      bytes: () => run.sendBytes(size),
      finish: () => run.finish(),
      notRun: () => !run.hasHead && handlers.onHead(NOT_RUN),
      serverError: () => {
        if (!run.hasHead) {
          run.hasHead = true;
          handlers.onHead(FAILED);
          if (!run.isCancelled) {
            run.isOver = true;
            handlers.onEnd();
          }
        }
      },
      reset: () => {
        run.isOver = true;
        handlers.onFailure({ mayHaveRun: true, isPortClosed: false, detail: 'reset' });
      },
      unsent: () => {
        if (!run.hasHead && !run.isIdentified) {
          run.isOver = true;
          this.unsent.add(run.attempt);
          handlers.onFailure({ mayHaveRun: false, isPortClosed: true, detail: 'refused' });
        }
      },
      identify: () => run.identify(),
      identifyOther: () => run.replaceProcess() && run.identify(),
      replaceProcess: () => run.replaceProcess(),
      unidentified: () => run.failIdentification(),
    };
    actions[kind]();
  }

  private performElsewhere(kind: (typeof OTHER_ACTIONS)[number], id: string): void {
    const { world, reply, request } = this;
    const nowMs = world.clock.now();
    const known = world.directory.find(id);
    const actions: Record<typeof kind, () => void> = {
      lostPath: () => {
        known?.path.suspect('connection-hung', nowMs);
        known?.path.notifyLost();
      },
      drain: () =>
        world.dispatcher.updateBackend(
          id,
          backendOf(id, { slots: 1, bornAtMs: BORN_AT_MS, state: 'draining' }),
          nowMs,
        ),
      ended: () => {
        this.runs
          .filter((run) => run.attempt.backend.id === id && !run.isCancelled)
          .forEach((run) => (run.isOver = known?.isDraining !== true || run.isOver));
        request.handleBackendEnded(id, 'agent');
      },
      withdraw: () => void request.withdrawIfUnsent(),
      backpressure: () => void (reply.hasBackpressure = true),
      drained: () => reply.drain(),
      competitor: () =>
        void world.request({
          requestId: headerValue('other'),
          route: routeOf({ kind: 'unsafe', timeoutMs: 500, maxAttempts: 1 }),
        }),
      leave: () => {
        this.hasLeft = true;
        request.handleCallerDisconnect();
      },
    };
    actions[kind]();
  }
}

/** Plays random scenarios; rejects with the first check that fails. */
async function checkScenarios(): Promise<void> {
  await fc.assert(
    fc.asyncProperty(SCENARIO, async (scenario) => {
      const run = new RandomRun(scenario);
      await run.play();
      const problem = run.verify();
      if (problem !== undefined) {
        throw new Error(problem);
      }
    }),
    { numRuns: RUNS, seed: 1, includeErrorInReport: true },
  );
}

test.serial(
  'random orders of events lose, repeat or mix no events of a stream and leak nothing',
  async (t) => {
    await t.notThrowsAsync(checkScenarios());
  },
);

const { begin, cancel } = BackendMove.prototype;

/** A defect of the moves, as methods that replace the correct ones. */
interface BrokenVariant {
  readonly name: string;
  readonly check: string;
  readonly replacements: ReadonlyArray<readonly [object, Readonly<Record<string, unknown>>]>;
}

const BROKEN_VARIANTS: readonly BrokenVariant[] = [
  {
    name: 'an attempt that is cancelled before the next one has sent an event',
    check: 'an attempt at a sound backend was cancelled',
    replacements: [
      [
        BackendMove.prototype,
        {
          begin(this: BackendMove, cause: DepartureCause) {
            begin.call(this, cause);
            this.promote();
          },
        },
      ],
    ],
  },
  {
    name: 'a next backend of another version that is used',
    check: 'an attempt at a sound backend was cancelled',
    replacements: [[ProcessCheck.prototype, { versionOf: () => VERSION }]],
  },
  {
    name: 'a next backend that is used although the silent one went on',
    check: 'one version, in order',
    replacements: [
      [
        BackendMove.prototype,
        {
          cancel(this: BackendMove, detail: string) {
            return detail === 'the request ended' && cancel.call(this, detail);
          },
        },
      ],
    ],
  },
  {
    name: 'a charge that is not given back',
    check: 'charges',
    replacements: [[RetryReservation.prototype, { refundCharge: () => undefined }]],
  },
];

for (const { name, check, replacements } of BROKEN_VARIANTS) {
  test.serial(`${name} is detected`, async (t) => {
    const correct = replacements.map(([target, broken]) => {
      const names = Object.keys(broken);
      return names.map((key) => [key, Object.getOwnPropertyDescriptor(target, key)!] as const);
    });
    replacements.forEach(([target, broken]) => Object.assign(target, broken));
    try {
      const { message } = (await t.throwsAsync(checkScenarios()))!;
      t.true(message.includes(`Got error: ${check}`), message);
    } finally {
      replacements.forEach(([target], index) =>
        Object.defineProperties(target, Object.fromEntries(correct[index]!)),
      );
    }
  });
}
