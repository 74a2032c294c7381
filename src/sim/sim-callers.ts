/**
 * Simulated callers behind a load balancer: they send requests and record the results without
 * checking them.
 */
import type { RandomSource } from '../random.js';
import { randomInteger } from '../random.js';
import type { Refusal } from '../request/refusal.js';
import { hashPromptPrefix } from '../request/prompt.js';
import { responseText, serviceResponse } from '../standin/response-text.js';
import type { Deployment, RequestClass } from './deployment.js';
import type { CallerAttempt, Observations } from './observations.js';
import type { CallerCallbacks, SimEntry } from './sim-entry.js';
import { OrderedStream } from './sim-network.js';
import type { NetworkAddress, SimNetwork } from './sim-network.js';
import { createSimPayload } from './sim-payload.js';
import type { VirtualClock } from './virtual-clock.js';

const CALLER_ADDRESS: NetworkAddress = { name: 'callers', zone: 'callers' };
/** Share of repeatable requests whose caller disconnects at a random time before the deadline. */
const DISCONNECT_FRACTION = 0.02;
const MAX_ATTEMPTS = 4;
const RETRY_DELAY_MS = 500;
const SHARED_PREFIX_COUNT = 12;
/** Length of a shared prompt prefix, in characters. */
const PREFIX_LENGTH = 600;

/** Dependencies of `SimCallers`. */
export interface SimCallersContext {
  readonly clock: VirtualClock;
  readonly network: SimNetwork;
  readonly random: RandomSource;
  readonly deployment: Deployment;
  readonly entries: readonly SimEntry[];
  readonly observations: Observations;
  /** Called when an entry refuses a request, before the refusal reaches the caller. */
  readonly onRefused: (attempt: CallerAttempt, refusal: Refusal) => void;
}

/** One operation of a caller; all its attempts send the same request. */
interface Operation {
  readonly requestClass: RequestClass;
  readonly tenant: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly idempotencyKey: string | undefined;
  attemptCount: number;
}

/** A message from an entry to a caller; `part` is a response chunk, `lost` a lost connection. */
type CallerMessage =
  | { readonly kind: 'part'; readonly data: string }
  | { readonly kind: 'end' }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'lost' };

/** Sends a stream of operations and retries those that may be retried. */
export class SimCallers {
  private operationCount = 0;
  private nextEntry = 0;
  private isStopped = false;
  /** Multiplier of the arrival rate, for bursts. */
  rateFactor = 1;
  /** Entry that receives all requests; undefined for round-robin over all entries. */
  pinnedEntry: SimEntry | undefined;

  constructor(
    private readonly context: SimCallersContext,
    private readonly requestsPerSecond: number,
  ) {}

  /** Sends operations at exponentially distributed intervals until `stop`. */
  start(): void {
    this.scheduleNext();
  }

  /** Stops sending new operations. */
  stop(): void {
    this.isStopped = true;
  }

  private scheduleNext(): void {
    const { clock, random } = this.context;
    const MS_PER_SECOND = 1_000;
    const meanMs = MS_PER_SECOND / (this.requestsPerSecond * this.rateFactor);
    const intervalMs = -Math.log(1 - random.next()) * meanMs;
    clock.setTimeout(() => {
      if (!this.isStopped) {
        this.send(this.createOperation());
        this.scheduleNext();
      }
    }, intervalMs);
  }

  private createOperation(): Operation {
    const { random, deployment } = this.context;
    const requestClass = pickClass(random, deployment.classes);
    this.operationCount += 1;
    const promptTokens = randomInteger(random, ...requestClass.promptTokens);
    const prefix = 'p'.repeat(PREFIX_LENGTH) + randomInteger(random, 1, SHARED_PREFIX_COUNT);
    const isLong = promptTokens * 4 > PREFIX_LENGTH;
    const name = `${requestClass.name} ${this.operationCount}`;
    return {
      requestClass,
      tenant: requestClass.tenants[randomInteger(random, 0, requestClass.tenants.length - 1)]!,
      prompt: isLong ? `${prefix.slice(-PREFIX_LENGTH)} ${name}` : name,
      promptTokens,
      maxOutputTokens: randomInteger(random, ...requestClass.outputTokens),
      idempotencyKey: requestClass.isRepeatable ? undefined : `key-${this.operationCount}`,
      attemptCount: 0,
    };
  }

  private send(operation: Operation): void {
    const { clock, network, observations } = this.context;
    operation.attemptCount += 1;
    const entry = this.pickEntry();
    const attempt = this.createAttempt(operation, entry);
    observations.attempts.push(attempt);
    network.transmit(CALLER_ADDRESS, entry.machine, () => {
      if (!entry.isAlive || entry.isLeaving) {
        network.transmit(entry.machine, CALLER_ADDRESS, () =>
          this.completeAttempt(operation, attempt, 'lost'),
        );
        return;
      }
      entry.deliver(entry.startCount, () => this.deliverToEntry(operation, attempt, entry));
    });
    if (this.context.random.next() < DISCONNECT_FRACTION && operation.requestClass.isRepeatable) {
      const afterMs = this.context.random.next() * operation.requestClass.deadlineMs;
      clock.setTimeout(() => this.disconnect(attempt, entry), afterMs);
    }
  }

  private deliverToEntry(operation: Operation, attempt: CallerAttempt, entry: SimEntry): void {
    const { requestClass, idempotencyKey } = operation;
    const stream = new OrderedStream<CallerMessage>(
      this.context.network,
      entry.machine,
      CALLER_ADDRESS,
      (message) => this.handleMessage(operation, attempt, message),
    );
    const isModel = operation.promptTokens > 0;
    entry.receive(
      {
        tenant: operation.tenant,
        model: requestClass.model,
        dataLabels: { class: requestClass.dataClass },
        deadlineInMs: requestClass.deadlineMs,
        promptTokens: operation.promptTokens,
        maxOutputTokens: operation.maxOutputTokens,
        prefixHash: isModel ? hashPromptPrefix(operation.prompt) : '',
        isRepeatable: requestClass.isRepeatable,
        idempotencyKey,
        payload: {
          method: 'POST',
          path: isModel ? '/v1/chat/completions' : '/calls',
          contentType: 'application/json',
          body: createSimPayload(operation.prompt),
        },
      },
      this.createCallbacks(attempt, stream),
    );
  }

  private createCallbacks(
    attempt: CallerAttempt,
    stream: OrderedStream<CallerMessage>,
  ): CallerCallbacks {
    return {
      onReceived: (id) => (attempt.requestId = id),
      onChunk: (data) => stream.send({ kind: 'part', data }),
      onEnd: () => stream.send({ kind: 'end' }),
      onRefused: (refusal) => {
        this.context.onRefused(attempt, refusal);
        stream.send({ kind: 'refused', refusal });
      },
      onConnectionLost: () => stream.send({ kind: 'lost' }),
    };
  }

  private handleMessage(
    operation: Operation,
    attempt: CallerAttempt,
    message: CallerMessage,
  ): void {
    if (attempt.outcome !== 'pending') {
      return;
    }
    switch (message.kind) {
      case 'part':
        attempt.firstChunkAtMs ??= this.context.clock.now();
        attempt.response += message.data;
        break;
      case 'end':
        this.completeAttempt(operation, attempt, 'end');
        break;
      case 'refused':
        attempt.refusal = message.refusal;
        this.completeAttempt(operation, attempt, 'refused');
        break;
      case 'lost':
        this.completeAttempt(operation, attempt, 'lost');
        break;
    }
  }

  private completeAttempt(
    operation: Operation,
    attempt: CallerAttempt,
    result: 'end' | 'refused' | 'lost',
  ): void {
    const { clock, observations } = this.context;
    if (attempt.outcome !== 'pending') {
      return;
    }
    attempt.outcome =
      result === 'end' ? 'answered' : result === 'refused' ? 'refused' : 'connection-lost';
    attempt.endedAtMs = clock.now();
    const reason = attempt.refusal?.reason ?? '';
    observations.log(clock.now(), `attempt ${attempt.attempt} ${attempt.outcome} ${reason}`);
    this.retryIfNeeded(operation, attempt);
  }

  /**
   * Retries an operation whose attempt no entry received, and any failed operation with an
   * idempotency key, up to `MAX_ATTEMPTS` attempts.
   */
  private retryIfNeeded(operation: Operation, attempt: CallerAttempt): void {
    const wasNeverReceived = attempt.requestId === undefined;
    const hasIdempotencyKey = operation.idempotencyKey !== undefined;
    const shouldRetry = attempt.outcome !== 'answered' && (wasNeverReceived || hasIdempotencyKey);
    if (shouldRetry && operation.attemptCount < MAX_ATTEMPTS) {
      const delayMs = attempt.refusal?.retryAfterMs ?? RETRY_DELAY_MS;
      this.context.clock.setTimeout(() => this.send(operation), delayMs);
    }
  }

  private disconnect(attempt: CallerAttempt, entry: SimEntry): void {
    if (attempt.outcome !== 'pending' || attempt.requestId === undefined) {
      return;
    }
    const id = attempt.requestId;
    attempt.outcome = 'hung-up';
    this.context.network.transmit(CALLER_ADDRESS, entry.machine, () =>
      entry.deliver(entry.startCount, () => entry.handleCallerDisconnect(id)),
    );
  }

  private pickEntry(): SimEntry {
    const { entries } = this.context;
    this.nextEntry += 1;
    return this.pinnedEntry ?? entries[this.nextEntry % entries.length]!;
  }

  private createAttempt(operation: Operation, entry: SimEntry): CallerAttempt {
    const { requestClass, prompt, maxOutputTokens } = operation;
    const sentAtMs = this.context.clock.now();
    const isModel = operation.promptTokens > 0;
    return {
      attempt: this.context.observations.attempts.length,
      className: requestClass.name,
      tenant: operation.tenant,
      model: requestClass.model,
      dataClass: requestClass.dataClass,
      tier: requestClass.tier,
      promptTokens: operation.promptTokens,
      idempotencyKey: operation.idempotencyKey,
      prompt,
      expectedResponse: isModel
        ? responseText(prompt, maxOutputTokens)
        : serviceResponse('/calls', prompt),
      entry: entry.machine.name,
      sentAtMs,
      deadlineAtMs: sentAtMs + requestClass.deadlineMs,
      requestId: undefined,
      response: '',
      outcome: 'pending',
      refusal: undefined,
      endedAtMs: undefined,
      firstChunkAtMs: undefined,
    };
  }
}

function pickClass(random: RandomSource, classes: readonly RequestClass[]): RequestClass {
  const totalShare = classes.reduce((sum, requestClass) => sum + requestClass.share, 0);
  let remaining = random.next() * totalShare;
  for (const requestClass of classes) {
    remaining -= requestClass.share;
    if (remaining < 0) {
      return requestClass;
    }
  }
  return classes[0]!;
}
