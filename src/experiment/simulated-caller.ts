/** Simulates one caller's request: its attempts, retry delays and response timeout. */
import type { Clock } from '../clock.js';
import type { CallerReply } from '../gateway/attempt/attempt.js';
import type { RandomSource } from '../random.js';
import { SIZE_HEADERS, readHeader } from './simulated-backend-sender.js';
import type { ExperimentRoute } from './experiment.js';
import { RETRY_AFTER_HEADER } from './simulated-gateway.js';
import type { SimulatedGateway } from './simulated-gateway.js';

/** How a request ended for its caller. */
export interface CallerOutcome {
  readonly route: ExperimentRoute;
  readonly arrivedAtMs: number;
  /** Whether the complete response was received. */
  readonly isServed: boolean;
  /** Whether it also met the route's latency targets, measured from the first attempt. */
  readonly isInTime: boolean;
  readonly refusals: number;
  /** Total duration of the attempts that were refused, failed or timed out, in milliseconds. */
  readonly heldMs: number;
  /** Whether the caller disconnected from a gateway after a response timeout. */
  readonly hasDisconnected: boolean;
}

/** Dependencies of a caller. */
export interface CallerPorts {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Returns a running gateway; undefined if none runs. */
  pickGateway(): SimulatedGateway | undefined;
  onEnd(outcome: CallerOutcome): void;
}

/** Size and deadline of one request. */
export interface RequestParameters {
  readonly promptTokens: number;
  readonly events: number;
  /** Total time that the caller waits, over all attempts, in milliseconds. */
  readonly deadlineMs: number;
}

/** API key that all callers send; ignored in experiments without tenants. */
export const CALLER_API_KEY = 'model';

const MAX_ATTEMPTS = 2;
/** Callers cap the retry delay at this share of the time left until their deadline. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
const FIRST_ERROR_STATUS = 400;
const DEFAULT_RETRY_DELAY_MS = 100;
/**
 * Callers disconnect if no response starts within the longest of these: a minimum, and multiples of
 * the route's target latency and maximum pause.
 */
const MIN_RESPONSE_TIMEOUT_MS = 2_000;
const RESPONSE_TIMEOUT_TARGETS = 4;
const RESPONSE_TIMEOUT_PAUSES = 8;
/**
 * Interval at which callers check whether the gateway of a pending attempt still runs: the
 * connection to one that lost power is never closed.
 */
const GATEWAY_CHECK_INTERVAL_MS = 1_000;

/** A simulated caller with a single request. */
export class SimulatedCaller {
  private readonly arrivedAtMs: number;
  private attempts = 0;
  private refusals = 0;
  private heldMs = 0;
  private hasDisconnected = false;
  private isDone = false;

  constructor(
    private readonly route: ExperimentRoute,
    private readonly parameters: RequestParameters,
    private readonly ports: CallerPorts,
  ) {
    this.arrivedAtMs = ports.clock.now();
    ports.clock.setTimeout(() => this.finish(false, false), parameters.deadlineMs);
  }

  /** Sends the request, or retries it, through a running gateway; fails without one. */
  sendAttempt(): void {
    const { clock } = this.ports;
    const gateway = this.ports.pickGateway();
    this.attempts += 1;
    const startedAtMs = clock.now();
    if (gateway === undefined) {
      this.handleAttemptEnd(startedAtMs, undefined);
      return;
    }
    const reply = new SimulatedReply(clock, (response) =>
      this.handleAttemptEnd(startedAtMs, response),
    );
    const headers = [
      SIZE_HEADERS.promptTokens,
      `${this.parameters.promptTokens}`,
      SIZE_HEADERS.events,
      `${this.parameters.events}`,
    ];
    const disconnect = gateway.handleRequest(
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
          deadlineMs: this.arrivedAtMs + this.parameters.deadlineMs - startedAtMs,
          apiKey: CALLER_API_KEY,
          tokens: { prompt: this.parameters.promptTokens, output: this.parameters.events },
          sharedPromptParts: [],
          lastEventId: undefined,
          resumedRequestId: undefined,
          reservedHeaders: [],
        },
        body: Buffer.alloc(0),
        arrivedAtMs: startedAtMs,
      },
      reply,
    );
    this.watchAttempt(gateway, reply, disconnect);
  }

  private get responseTimeoutMs(): number {
    const { targetMs, maxPauseMs } = this.route;
    return Math.max(
      MIN_RESPONSE_TIMEOUT_MS,
      targetMs * RESPONSE_TIMEOUT_TARGETS,
      maxPauseMs * RESPONSE_TIMEOUT_PAUSES,
    );
  }

  /** Enforces the response timeout, and detects a gateway that lost power. */
  private watchAttempt(
    gateway: SimulatedGateway,
    reply: SimulatedReply,
    disconnect: () => void,
  ): void {
    const startedAtMs = this.ports.clock.now();
    this.ports.clock.setTimeout(() => {
      if (!reply.isEnded && !reply.hasSuccessHead && gateway.isUp && !this.isDone) {
        disconnect();
        this.heldMs += this.ports.clock.now() - startedAtMs;
        this.hasDisconnected = true;
        this.finish(false, false);
      }
    }, this.responseTimeoutMs);
    this.watchGateway(gateway, reply, disconnect);
  }

  private watchGateway(
    gateway: SimulatedGateway,
    reply: SimulatedReply,
    disconnect: () => void,
  ): void {
    this.ports.clock.setTimeout(() => {
      if (reply.isEnded) {
        return;
      }
      if (!gateway.isUp) {
        reply.abort();
      } else if (this.isDone) {
        disconnect();
      } else {
        this.watchGateway(gateway, reply, disconnect);
      }
    }, GATEWAY_CHECK_INTERVAL_MS);
  }

  private handleAttemptEnd(startedAtMs: number, response: ReceivedResponse | undefined): void {
    if (this.isDone) {
      return;
    }
    const { clock, random } = this.ports;
    const nowMs = clock.now();
    if (response !== undefined && response.isComplete && response.status < FIRST_ERROR_STATUS) {
      this.finish(true, this.isInTime(response));
      return;
    }
    this.heldMs += nowMs - startedAtMs;
    const isRefused = response !== undefined && !response.hasSuccessHead;
    this.refusals += isRefused ? 1 : 0;
    const leftMs = this.arrivedAtMs + this.parameters.deadlineMs - nowMs;
    const waitMs = response?.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS * (1 + random.next());
    if (this.attempts >= MAX_ATTEMPTS || (response?.hasSuccessHead ?? false) || leftMs <= 0) {
      this.finish(false, false);
      return;
    }
    clock.setTimeout(() => this.retry(), Math.min(waitMs, leftMs * MAX_RETRY_DELAY_SHARE));
  }

  private retry(): void {
    if (!this.isDone) {
      this.sendAttempt();
    }
  }

  private isInTime({ headAtMs, longestPauseMs }: ReceivedResponse): boolean {
    const { targetMs, maxPauseMs } = this.route;
    return headAtMs - this.arrivedAtMs <= targetMs && longestPauseMs <= maxPauseMs;
  }

  private finish(isServed: boolean, isInTime: boolean): void {
    if (this.isDone) {
      return;
    }
    this.isDone = true;
    const { route, arrivedAtMs, refusals, heldMs, hasDisconnected } = this;
    this.ports.onEnd({
      route,
      arrivedAtMs,
      isServed,
      isInTime,
      refusals,
      heldMs,
      hasDisconnected,
    });
  }
}

/** A response as its caller received it. */
interface ReceivedResponse {
  readonly status: number;
  readonly isComplete: boolean;
  /** Whether a response head with a success status was received. */
  readonly hasSuccessHead: boolean;
  readonly headAtMs: number;
  readonly longestPauseMs: number;
  readonly retryAfterMs: number | undefined;
}

/** Response stream of one attempt; records its timing. */
class SimulatedReply implements CallerReply {
  isEnded = false;
  private status = 0;
  private retryAfterMs: number | undefined;
  private headAtMs = 0;
  private lastWriteAtMs: number | undefined;
  private longestPauseMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly onEnd: (response: ReceivedResponse) => void,
  ) {}

  start(status: number, headers: readonly string[]): void {
    this.status = status;
    const retryAfter = readHeader(headers, RETRY_AFTER_HEADER);
    this.retryAfterMs = retryAfter === undefined ? undefined : Number(retryAfter);
    this.headAtMs = this.clock.now();
  }

  write(): boolean {
    const nowMs = this.clock.now();
    this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - (this.lastWriteAtMs ?? nowMs));
    this.lastWriteAtMs = nowMs;
    return true;
  }

  end(): void {
    this.finish(true);
  }

  abort(): void {
    this.finish(false);
  }

  onceDrained(): void {
    // `write` never applies backpressure.
  }

  /** Whether a response head with a success status was received. */
  get hasSuccessHead(): boolean {
    return this.status > 0 && this.status < FIRST_ERROR_STATUS;
  }

  private finish(isComplete: boolean): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    const { status, headAtMs, longestPauseMs, retryAfterMs, hasSuccessHead } = this;
    this.onEnd({ status, isComplete, hasSuccessHead, headAtMs, longestPauseMs, retryAfterMs });
  }
}
