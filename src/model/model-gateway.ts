/**
 * A gateway of an experiment: the admission, the dispatcher and the requests that gateways run, with
 * engines and agents that are called directly in place of sockets.
 */
import type { Clock } from '../clock.js';
import type { CallerReply } from '../gateway/attempt/attempt.js';
import { NO_CRASHES } from '../gateway/crashes/crash-tally.js';
import type { RunCrashTracker } from '../gateway/crashes/crashing-requests.js';
import { ProxiedRequest } from '../gateway/attempt/proxied-request.js';
import type { RequestOptions, RequestPorts } from '../gateway/attempt/request-model.js';
import type { CallerProtocol } from '../gateway/admission/caller-protocol.js';
import { RequestAdmission } from '../gateway/admission/request-admission.js';
import type { ReceivedRequest } from '../gateway/admission/request-admission.js';
import { RetryBudget } from '../gateway/admission/retry-budget.js';
import { sendRefusal } from '../gateway/admission/send-refusal.js';
import { NO_STATEMENT } from '../gateway/statements/backend-statement.js';
import { BackendDirectory } from '../gateway/dispatch/backend-directory.js';
import { ColdStartLimiter } from '../gateway/dispatch/cold-starts.js';
import { Dispatcher } from '../gateway/dispatch/dispatcher.js';
import type { RandomSource } from '../random.js';
import type { OperatorRules } from '../routing/backend-restriction.js';
import type { RoutingTable } from '../routing/routing-table.js';
import type { AgentSlotMessage, GatewaySlotMessage } from '../slot-agent/slot-messages.js';
import { EngineSender, NOT_RUN_HEADER } from './engine-sender.js';
import type { ModelBackend } from './model-fleet.js';

/** What a gateway of an experiment is made from. */
export interface ModelGatewayParts {
  readonly name: string;
  readonly zone: string;
  readonly backends: ReadonlyMap<string, ModelBackend>;
  readonly table: RoutingTable;
  readonly tokensPerEvent: number;
  readonly linkMs: number;
  readonly options: RequestOptions;
  readonly clock: Clock;
  readonly random: RandomSource;
  countGateways(): number;
}

const TICK_MS = 100;
/** A limit that no experiment reaches: the retry budget is not what it looks at; its tenants have no quotas. */
const WIDE_BUDGET = { ratio: 1, windowMs: 10_000, slack: 1e6 };

/** Names of no platform: sizes travel in headers of the model's own. */
const MODEL_PROTOCOL: CallerProtocol = {
  readRequest: () => ({
    requestId: undefined,
    deadlineMs: undefined,
    apiKey: undefined,
    tokens: undefined,
    lastEventId: undefined,
    reservedHeaders: [],
  }),
  attemptHeaders: (received) => [...received],
  readAnswer: (_status, headers) => ({
    requestId: undefined,
    isNotExecuted: headers[NOT_RUN_HEADER] !== undefined,
    isMisdirected: false,
    statement: NO_STATEMENT,
  }),
  ownAnswerHeaders: (_requestId, retryAfterMs) =>
    retryAfterMs === undefined ? [] : [RETRY_AFTER_HEADER, `${retryAfterMs}`],
};

/** Header of an answer that tells when to come back, in milliseconds. */
export const RETRY_AFTER_HEADER = 'retry-after-ms';

/** The requests of a model are all alike and crash nothing: engines that crash there do so by themselves. */
const NO_CRASHING_REQUESTS: RunCrashTracker = {
  refusalOf: () => undefined,
  beginRun: (request, backend) => ({
    request,
    backend,
    backendId: backend.id,
    sentAtMs: 0,
    tallyAtStart: NO_CRASHES,
    previous: undefined,
    crashes: 0,
  }),
  recordInterrupted: () => undefined,
  recordServed: () => undefined,
  recordBackendExit: () => undefined,
};

/** Operators order nothing in a model. */
const NO_ORDERS: OperatorRules = {
  isEvacuated: () => false,
  regionOf: () => undefined,
  versionUse: () => 'open',
};

/** One life of a gateway process. */
export class ModelGateway {
  private readonly directory: BackendDirectory;
  private readonly dispatcher: Dispatcher;
  private readonly admission: RequestAdmission;
  private readonly sender: EngineSender;
  private readonly ports: RequestPorts;
  private readonly senders = new Map<string, (message: GatewaySlotMessage) => void>();
  private isOn = true;

  constructor(private readonly parts: ModelGatewayParts) {
    const { name, zone, clock, random, backends, linkMs } = parts;
    this.directory = new BackendDirectory({ name, zone }, { isEngine: () => true, ...NO_ORDERS });
    this.dispatcher = new Dispatcher(this.directory, {
      sendToAgent: (backendId, message) => this.senders.get(backendId)?.(message),
      onEjected: () => undefined,
      onRestricted: () => undefined,
      onAvailability: () => undefined,
      ...NO_ORDERS,
      onSent: () => undefined,
      coldStarts: new ColdStartLimiter(),
      isEngine: () => true,
      countGateways: () => parts.countGateways(),
      tokensPerEvent: () => parts.tokensPerEvent,
    });
    this.sender = new EngineSender(backends, clock, linkMs);
    this.admission = new RequestAdmission(random);
    const budget = new RetryBudget(WIDE_BUDGET);
    this.ports = {
      clock,
      random,
      directory: this.directory,
      dispatcher: this.dispatcher,
      sender: this.sender,
      protocol: MODEL_PROTOCOL,
      crashes: NO_CRASHING_REQUESTS,
      chargeRetry: (_request, onResult) => onResult(true),
      takeRetry: (service) => budget.takeRetry(service, parts.countGateways(), clock.now()),
      onStatement: () => undefined,
      onTryOver: () => undefined,
      onEnd: () => undefined,
    };
    this.start();
  }

  /** Takes a request of a caller; returns what is called when the caller leaves. */
  take(received: ReceivedRequest, reply: CallerReply): () => void {
    const admitted = this.admission.admit(received, this.parts.table);
    if (!admitted.ok) {
      sendRefusal(reply, MODEL_PROTOCOL, received.caller.requestId, admitted.val);
      return () => undefined;
    }
    const request = new ProxiedRequest(admitted.val, reply, this.ports, this.parts.options);
    request.begin();
    return () => request.handleCallerDisconnect();
  }

  /** Whether it runs. */
  get isUp(): boolean {
    return this.isOn;
  }

  /** Loses power: nothing more is sent or heard, and agents are not told. */
  losePower(): void {
    this.isOn = false;
    this.senders.clear();
    this.sender.cancelAll();
  }

  private start(): void {
    const { backends, clock } = this.parts;
    for (const { backend } of backends.values()) {
      this.dispatcher.updateBackend(backend.id, backend, clock.now());
    }
    for (const { backend, agent } of backends.values()) {
      if (this.directory.find(backend.id)!.isInSubset) {
        this.connect(backend.id, agent);
      }
    }
    this.tick();
  }

  private connect(backendId: string, agent: ModelBackend['agent']): void {
    const { clock, name } = this.parts;
    const known = this.directory.find(backendId)!;
    const send = agent.connect({
      receive: (message) => this.receive(backendId, message),
      close: () => this.reconnect(backendId, agent),
    });
    const { slots } = known.backend;
    send({ kind: 'hello', gateway: name, peersAddress: '', held: known.outstanding, slots });
    this.senders.set(backendId, send);
    this.dispatcher.connectAgent(backendId, clock.now());
  }

  private receive(backendId: string, message: AgentSlotMessage): void {
    if (this.isOn) {
      this.dispatcher.receiveFromAgent(backendId, message, this.parts.clock.now());
    }
  }

  private reconnect(backendId: string, agent: ModelBackend['agent']): void {
    if (this.isOn) {
      this.senders.delete(backendId);
      this.dispatcher.disconnectAgent(backendId, this.parts.clock.now());
      this.connect(backendId, agent);
    }
  }

  private tick(): void {
    this.parts.clock.setTimeout(() => {
      if (!this.isOn) {
        return;
      }
      this.dispatcher.tick(this.parts.clock.now());
      for (const [backendId, send] of this.senders) {
        const known = this.directory.find(backendId);
        if (known !== undefined && (known.outstanding > 0 || known.hasDemand)) {
          known.agent!.messagesSent += 1;
          send({ kind: 'alive' });
        }
      }
      this.tick();
    }, TICK_MS);
  }
}
