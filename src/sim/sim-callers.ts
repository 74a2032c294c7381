/** Simulated callers behind a balancer: they send, check nothing, and note what they got. */
import type { RandomSource } from '../random.js';
import { randomInteger } from '../random.js';
import type { Refusal } from '../request/refusal.js';
import { hashPromptPrefix } from '../request/prompt.js';
import { responseText, serviceResponse } from '../standin/answer-text.js';
import type { Deployment, RequestClass } from './deployment.js';
import type { CallerAttempt, Observations } from './observations.js';
import type { CallerEnd, SimEntry } from './sim-entry.js';
import { OrderedStream } from './sim-network.js';
import type { NetworkAddress, SimNetwork } from './sim-network.js';
import { createSimPayload } from './sim-payload.js';
import type { VirtualClock } from './virtual-clock.js';

const CALLER_ADDRESS: NetworkAddress = { name: 'callers', zone: 'callers' };
const HANG_UP_SHARE = 0.02;
const MAX_TRIES = 4;
const RETRY_PAUSE_MS = 500;
const SHARED_PREFIXES = 12;
const PREFIX_LENGTH = 600;

/** What callers are made from. */
export interface SimCallersParts {
  readonly clock: VirtualClock;
  readonly network: SimNetwork;
  readonly random: RandomSource;
  readonly deployment: Deployment;
  readonly entries: readonly SimEntry[];
  readonly observations: Observations;
  /** Called the moment an entry refuses a request. */
  readonly onRefused: (attempt: CallerAttempt, refusal: Refusal) => void;
}

/** One operation of a caller, the same over all its tries. */
interface Operation {
  readonly requestClass: RequestClass;
  readonly tenant: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly idempotencyKey: string | undefined;
  tries: number;
}

type CallerMessage =
  | { readonly kind: 'part'; readonly data: string }
  | { readonly kind: 'end' }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'lost' };

/** Simulated callers. */
export class SimCallers {
  private operationCount = 0;
  private nextEntry = 0;
  private isStopped = false;
  /** Factor on the rate of arrivals, for bursts. */
  rateFactor = 1;
  /** The balancer sends everything to this entry; undefined spreads it. */
  onlyEntry: SimEntry | undefined;

  constructor(
    private readonly parts: SimCallersParts,
    private readonly requestsPerSecond: number,
  ) {}

  /** Sends requests at random moments until `stop`. */
  start(): void {
    this.scheduleNext();
  }

  /** Sends no new operations. */
  stop(): void {
    this.isStopped = true;
  }

  private scheduleNext(): void {
    const { clock, random } = this.parts;
    const MS_PER_SECOND = 1_000;
    const meanMs = MS_PER_SECOND / (this.requestsPerSecond * this.rateFactor);
    const pauseMs = -Math.log(1 - random.next()) * meanMs;
    clock.setTimeout(() => {
      if (!this.isStopped) {
        this.send(this.createOperation());
        this.scheduleNext();
      }
    }, pauseMs);
  }

  private createOperation(): Operation {
    const { random, deployment } = this.parts;
    const requestClass = pickClass(random, deployment.classes);
    this.operationCount += 1;
    const promptTokens = randomInteger(random, ...requestClass.promptTokens);
    const prefix = 'p'.repeat(PREFIX_LENGTH) + randomInteger(random, 1, SHARED_PREFIXES);
    const isLong = promptTokens * 4 > PREFIX_LENGTH;
    const name = `${requestClass.name} ${this.operationCount}`;
    return {
      requestClass,
      tenant: requestClass.tenants[randomInteger(random, 0, requestClass.tenants.length - 1)]!,
      prompt: isLong ? `${prefix.slice(-PREFIX_LENGTH)} ${name}` : name,
      promptTokens,
      maxOutputTokens: randomInteger(random, ...requestClass.outputTokens),
      idempotencyKey: requestClass.isRepeatable ? undefined : `key-${this.operationCount}`,
      tries: 0,
    };
  }

  private send(operation: Operation): void {
    const { clock, network, observations } = this.parts;
    operation.tries += 1;
    const entry = this.pickEntry();
    const attempt = this.createAttempt(operation, entry);
    observations.attempts.push(attempt);
    network.transmit(CALLER_ADDRESS, entry.machine, () => {
      if (!entry.isAlive || entry.isLeaving) {
        network.transmit(entry.machine, CALLER_ADDRESS, () =>
          this.finish(operation, attempt, 'lost'),
        );
        return;
      }
      entry.deliver(entry.startCount, () => this.arrive(operation, attempt, entry));
    });
    if (this.parts.random.next() < HANG_UP_SHARE && operation.requestClass.isRepeatable) {
      const afterMs = this.parts.random.next() * operation.requestClass.deadlineMs;
      clock.setTimeout(() => this.hangUp(attempt, entry), afterMs);
    }
  }

  private arrive(operation: Operation, attempt: CallerAttempt, entry: SimEntry): void {
    const { requestClass, idempotencyKey } = operation;
    const stream = new OrderedStream<CallerMessage>(
      this.parts.network,
      entry.machine,
      CALLER_ADDRESS,
      (message) => this.take(operation, attempt, message),
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
      this.createEnd(attempt, stream),
    );
  }

  private createEnd(attempt: CallerAttempt, stream: OrderedStream<CallerMessage>): CallerEnd {
    return {
      onAccepted: (id) => (attempt.requestId = id),
      onPart: (data) => stream.send({ kind: 'part', data }),
      onEnd: () => stream.send({ kind: 'end' }),
      onRefused: (refusal) => {
        this.parts.onRefused(attempt, refusal);
        stream.send({ kind: 'refused', refusal });
      },
      onConnectionLost: () => stream.send({ kind: 'lost' }),
    };
  }

  private take(operation: Operation, attempt: CallerAttempt, message: CallerMessage): void {
    if (attempt.outcome !== 'pending') {
      return;
    }
    switch (message.kind) {
      case 'part':
        attempt.firstPartAtMs ??= this.parts.clock.now();
        attempt.answer += message.data;
        break;
      case 'end':
        this.finish(operation, attempt, 'end');
        break;
      case 'refused':
        attempt.refusal = message.refusal;
        this.finish(operation, attempt, 'refused');
        break;
      case 'lost':
        this.finish(operation, attempt, 'lost');
        break;
    }
  }

  private finish(
    operation: Operation,
    attempt: CallerAttempt,
    ending: 'end' | 'refused' | 'lost',
  ): void {
    const { clock, observations } = this.parts;
    if (attempt.outcome !== 'pending') {
      return;
    }
    attempt.outcome =
      ending === 'end' ? 'answered' : ending === 'refused' ? 'refused' : 'connection-lost';
    attempt.endedAtMs = clock.now();
    const reason = attempt.refusal?.reason ?? '';
    observations.log(clock.now(), `attempt ${attempt.attempt} ${attempt.outcome} ${reason}`);
    this.maybeRetry(operation, attempt);
  }

  /** A connection that never reached an entry is tried elsewhere; so is an operation with a key. */
  private maybeRetry(operation: Operation, attempt: CallerAttempt): void {
    const wasNeverTaken = attempt.requestId === undefined;
    const isKeyed = operation.idempotencyKey !== undefined;
    const isWorthRetrying = attempt.outcome !== 'answered' && (wasNeverTaken || isKeyed);
    if (isWorthRetrying && operation.tries < MAX_TRIES) {
      const pauseMs = attempt.refusal?.retryAfterMs ?? RETRY_PAUSE_MS;
      this.parts.clock.setTimeout(() => this.send(operation), pauseMs);
    }
  }

  private hangUp(attempt: CallerAttempt, entry: SimEntry): void {
    if (attempt.outcome !== 'pending' || attempt.requestId === undefined) {
      return;
    }
    const id = attempt.requestId;
    attempt.outcome = 'hung-up';
    this.parts.network.transmit(CALLER_ADDRESS, entry.machine, () =>
      entry.deliver(entry.startCount, () => entry.loseCaller(id)),
    );
  }

  private pickEntry(): SimEntry {
    const { entries } = this.parts;
    this.nextEntry += 1;
    return this.onlyEntry ?? entries[this.nextEntry % entries.length]!;
  }

  private createAttempt(operation: Operation, entry: SimEntry): CallerAttempt {
    const { requestClass, prompt, maxOutputTokens } = operation;
    const sentAtMs = this.parts.clock.now();
    const isModel = operation.promptTokens > 0;
    return {
      attempt: this.parts.observations.attempts.length,
      className: requestClass.name,
      tenant: operation.tenant,
      model: requestClass.model,
      dataClass: requestClass.dataClass,
      tier: requestClass.tier,
      promptTokens: operation.promptTokens,
      idempotencyKey: operation.idempotencyKey,
      prompt,
      expectedAnswer: isModel
        ? responseText(prompt, maxOutputTokens)
        : serviceResponse('/calls', prompt),
      entry: entry.machine.name,
      sentAtMs,
      deadlineAtMs: sentAtMs + requestClass.deadlineMs,
      requestId: undefined,
      answer: '',
      outcome: 'pending',
      refusal: undefined,
      endedAtMs: undefined,
      firstPartAtMs: undefined,
    };
  }
}

function pickClass(random: RandomSource, classes: readonly RequestClass[]): RequestClass {
  const total = classes.reduce((sum, one) => sum + one.share, 0);
  let rest = random.next() * total;
  for (const one of classes) {
    rest -= one.share;
    if (rest < 0) {
      return one;
    }
  }
  return classes[0]!;
}
