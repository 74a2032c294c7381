/** One caller's request: its tries, the wait that it is told, and what the answer was worth. */
import type { Clock } from '../clock.js';
import type { CallerReply } from '../gateway/attempt/attempt.js';
import type { RandomSource } from '../random.js';
import { SIZE_HEADERS, readHeader } from './engine-sender.js';
import type { ModelRoute } from './experiment.js';
import { RETRY_AFTER_HEADER } from './model-gateway.js';
import type { ModelGateway } from './model-gateway.js';

/** How a request ended for its caller. */
export interface CallerOutcome {
  readonly route: ModelRoute;
  readonly arrivedAtMs: number;
  /** Whether the whole answer came. */
  readonly isServed: boolean;
  /** Whether it also came in time, counted from the first try. */
  readonly isInTime: boolean;
  readonly refusals: number;
  /** Time for which gateways held tries that they then refused or failed, in milliseconds. */
  readonly heldMs: number;
  /** Whether the caller left a gateway that had told it nothing. */
  readonly hasLeft: boolean;
}

/** What a caller needs. */
export interface CallerPorts {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** A gateway that takes connections; undefined when none does. */
  pickGateway(): ModelGateway | undefined;
  onEnd(outcome: CallerOutcome): void;
}

/** Size of one request, and the time that it has. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly events: number;
  /** How long its caller waits in all, in milliseconds. */
  readonly deadlineMs: number;
}

/** The key that callers show; no experiment that has no tenants looks at it. */
export const MODEL_KEY = 'model';

const MAX_TRIES = 2;
/** Share of the time left up to which callers honour a wait that they are told. */
const MAX_WAIT_SHARE = 1 / 3;
const HTTP_ERROR = 400;
const DEFAULT_RETRY_MS = 100;
/** Callers give up a stream that is silent for the longest of these: a time, and shares of its targets. */
const PATIENCE_MS = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_PAUSES = 8;
/** Time after which a caller whose connection is silent because its gateway died tries again. */
const DEAD_GATEWAY_MS = 1_000;

/** One caller. */
export class ModelCaller {
  private readonly arrivedAtMs: number;
  private tries = 0;
  private refusals = 0;
  private heldMs = 0;
  private hasLeft = false;
  private isDone = false;

  constructor(
    private readonly route: ModelRoute,
    private readonly size: RequestSize,
    private readonly ports: CallerPorts,
  ) {
    this.arrivedAtMs = ports.clock.now();
    ports.clock.setTimeout(() => this.finish(false, false), size.deadlineMs);
  }

  /** Sends the request. */
  begin(): void {
    const { clock } = this.ports;
    const gateway = this.ports.pickGateway();
    this.tries += 1;
    const startedAtMs = clock.now();
    if (gateway === undefined) {
      this.end(startedAtMs, undefined);
      return;
    }
    const reply = new ModelReply(clock, (answer) => this.end(startedAtMs, answer));
    const headers = [
      SIZE_HEADERS.promptTokens,
      `${this.size.promptTokens}`,
      SIZE_HEADERS.events,
      `${this.size.events}`,
    ];
    const leave = gateway.take(
      {
        head: {
          method: 'POST',
          path: `/${this.route.name}/`,
          host: 'model',
          rawHeaders: headers,
          headers: {},
        },
        caller: {
          requestId: undefined,
          deadlineMs: this.arrivedAtMs + this.size.deadlineMs - startedAtMs,
          apiKey: MODEL_KEY,
          tokens: { prompt: this.size.promptTokens, output: this.size.events },
          lastEventId: undefined,
          reservedHeaders: [],
        },
        body: Buffer.alloc(0),
        arrivedAtMs: startedAtMs,
      },
      reply,
    );
    this.watch(gateway, reply, leave);
  }

  private get patienceMs(): number {
    const { targetMs, maxPauseMs } = this.route;
    return Math.max(PATIENCE_MS, targetMs * PATIENCE_TARGETS, maxPauseMs * PATIENCE_PAUSES);
  }

  /** Leaves a gateway that is silent for too long, and notices one that lost power. */
  private watch(gateway: ModelGateway, reply: ModelReply, leave: () => void): void {
    const startedAtMs = this.ports.clock.now();
    this.ports.clock.setTimeout(() => {
      if (!reply.isOver && !reply.hasBegun && gateway.isUp && !this.isDone) {
        leave();
        this.heldMs += this.ports.clock.now() - startedAtMs;
        this.hasLeft = true;
        this.finish(false, false);
      }
    }, this.patienceMs);
    this.watchGateway(gateway, reply, leave);
  }

  private watchGateway(gateway: ModelGateway, reply: ModelReply, leave: () => void): void {
    this.ports.clock.setTimeout(() => {
      if (reply.isOver) {
        return;
      }
      if (!gateway.isUp) {
        reply.abort();
      } else if (this.isDone) {
        leave();
      } else {
        this.watchGateway(gateway, reply, leave);
      }
    }, DEAD_GATEWAY_MS);
  }

  private end(startedAtMs: number, answer: ModelAnswer | undefined): void {
    if (this.isDone) {
      return;
    }
    const { clock, random } = this.ports;
    const nowMs = clock.now();
    if (answer !== undefined && answer.isWhole && answer.status < HTTP_ERROR) {
      this.finish(true, this.isInTime(answer));
      return;
    }
    this.heldMs += nowMs - startedAtMs;
    const isRefused = answer !== undefined && !answer.hasBegun;
    this.refusals += isRefused ? 1 : 0;
    const leftMs = this.arrivedAtMs + this.size.deadlineMs - nowMs;
    const waitMs = answer?.retryAfterMs ?? DEFAULT_RETRY_MS * (1 + random.next());
    if (this.tries >= MAX_TRIES || (answer?.hasBegun ?? false) || leftMs <= 0) {
      this.finish(false, false);
      return;
    }
    clock.setTimeout(() => this.retry(), Math.min(waitMs, leftMs * MAX_WAIT_SHARE));
  }

  private retry(): void {
    if (!this.isDone) {
      this.begin();
    }
  }

  private isInTime({ firstAtMs, longestPauseMs }: ModelAnswer): boolean {
    const { targetMs, maxPauseMs } = this.route;
    return firstAtMs - this.arrivedAtMs <= targetMs && longestPauseMs <= maxPauseMs;
  }

  private finish(isServed: boolean, isInTime: boolean): void {
    if (this.isDone) {
      return;
    }
    this.isDone = true;
    const { route, arrivedAtMs, refusals, heldMs, hasLeft } = this;
    this.ports.onEnd({ route, arrivedAtMs, isServed, isInTime, refusals, heldMs, hasLeft });
  }
}

/** An answer as a caller saw it. */
interface ModelAnswer {
  readonly status: number;
  readonly isWhole: boolean;
  /** Whether a part of a success came. */
  readonly hasBegun: boolean;
  readonly firstAtMs: number;
  readonly longestPauseMs: number;
  readonly retryAfterMs: number | undefined;
}

/** The caller's side of one try. */
class ModelReply implements CallerReply {
  isOver = false;
  private status = 0;
  private retryAfterMs: number | undefined;
  private firstAtMs = 0;
  private lastAtMs: number | undefined;
  private longestPauseMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly onOver: (answer: ModelAnswer) => void,
  ) {}

  start(status: number, headers: readonly string[]): void {
    this.status = status;
    const retryAfter = readHeader(headers, RETRY_AFTER_HEADER);
    this.retryAfterMs = retryAfter === undefined ? undefined : Number(retryAfter);
    this.firstAtMs = this.clock.now();
  }

  write(): boolean {
    const nowMs = this.clock.now();
    this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - (this.lastAtMs ?? nowMs));
    this.lastAtMs = nowMs;
    return true;
  }

  end(): void {
    this.over(true);
  }

  abort(): void {
    this.over(false);
  }

  onceDrained(): void {
    // Callers read everything at once.
  }

  /** Whether a part of a success came. */
  get hasBegun(): boolean {
    return this.status > 0 && this.status < HTTP_ERROR;
  }

  private over(isWhole: boolean): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    const { status, firstAtMs, longestPauseMs, retryAfterMs, hasBegun } = this;
    this.onOver({ status, isWhole, hasBegun, firstAtMs, longestPauseMs, retryAfterMs });
  }
}
