/**
 * Simulated gateway of an experiment: runs the gateway's own admission, dispatcher and request
 * handling, and calls engines and agents directly in place of sockets.
 */
import type { Clock } from '../clock.js';
import type { CallerReply } from '../gateway/attempt/attempt.js';
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
import { ColdStartLimiter } from '../gateway/dispatch/cold-start-limiter.js';
import { Dispatcher } from '../gateway/dispatch/dispatcher.js';
import type { RandomSource } from '../random.js';
import type { OperatorRules } from '../routing/backend-restriction.js';
import type { RoutingTable } from '../routing/routing-table.js';
import type { AgentSlotMessage, GatewaySlotMessage } from '../slot-agent/slot-messages.js';
import { SimulatedBackendSender, NOT_EXECUTED_HEADER } from './simulated-backend-sender.js';
import type { SimulatedBackend } from './simulated-fleet.js';

/** Dependencies of a simulated gateway. */
export interface SimulatedGatewayDependencies {
  readonly name: string;
  readonly zone: string;
  readonly backends: ReadonlyMap<string, SimulatedBackend>;
  readonly table: RoutingTable;
  readonly tokensPerEvent: number;
  readonly linkMs: number;
  readonly options: RequestOptions;
  readonly clock: Clock;
  readonly random: RandomSource;
  countGateways(): number;
}

const TICK_MS = 100;
/** Never exhausted: experiments do not evaluate retry budgets, and their tenants have no quotas. */
const UNLIMITED_RETRY_BUDGET = { ratio: 1, windowMs: 10_000, slack: 1e6 };

/** Header protocol of experiments; the size of a request is in the headers `SIZE_HEADERS`. */
const EXPERIMENT_PROTOCOL: CallerProtocol = {
  readRequest: () => ({
    requestId: undefined,
    deadlineMs: undefined,
    apiKey: undefined,
    tokens: undefined,
    sharedPromptParts: [],
    lastEventId: undefined,
    resumedRequestId: undefined,
    reservedHeaders: [],
  }),
  attemptHeaders: (received) => [...received],
  readAnswer: (_status, headers) => ({
    requestId: undefined,
    isNotExecuted: headers[NOT_EXECUTED_HEADER] !== undefined,
    isMisdirected: false,
    statement: NO_STATEMENT,
  }),
  ownAnswerHeaders: (_requestId, retryAfterMs) =>
    retryAfterMs === undefined ? [] : [RETRY_AFTER_HEADER, `${retryAfterMs}`],
};

/** Response header with the delay before a retry, in milliseconds. */
export const RETRY_AFTER_HEADER = 'retry-after-ms';

/** Disables crash tracking: simulated engines crash by injected faults, not because of requests. */
const NO_CRASH_TRACKING: RunCrashTracker = {
  refusalOf: () => undefined,
  beginRun: (request, backend) => ({
    request,
    backend,
    backendId: backend.id,
    sentAtMs: 0,
    talliesAtStart: new Map(),
    previous: undefined,
    crashes: new Map(),
  }),
  recordFailure: () => undefined,
  recordInterrupted: () => undefined,
  recordServed: () => undefined,
};

/** Operator rules without any evacuation, region or rollout. */
const NO_OPERATOR_RULES: OperatorRules = {
  isEvacuated: () => false,
  regionOf: () => undefined,
  versionUse: () => 'open',
};

/** A simulated gateway process, from its start until it loses power. */
export class SimulatedGateway {
  private readonly directory: BackendDirectory;
  private readonly dispatcher: Dispatcher;
  private readonly admission: RequestAdmission;
  private readonly sender: SimulatedBackendSender;
  private readonly ports: RequestPorts;
  private readonly agentSenders = new Map<string, (message: GatewaySlotMessage) => void>();
  private isRunning = true;

  constructor(private readonly dependencies: SimulatedGatewayDependencies) {
    const { name, zone, clock, random, backends, linkMs } = dependencies;
    this.directory = new BackendDirectory(
      { name, zone },
      { isEngine: () => true, ...NO_OPERATOR_RULES },
    );
    this.dispatcher = new Dispatcher(this.directory, {
      sendToAgent: (backendId, message) => this.agentSenders.get(backendId)?.(message),
      onEjected: () => undefined,
      onRestricted: () => undefined,
      onAvailability: () => undefined,
      ...NO_OPERATOR_RULES,
      onSent: () => undefined,
      coldStarts: new ColdStartLimiter(),
      isEngine: () => true,
      countGateways: () => dependencies.countGateways(),
      tokensPerEvent: () => dependencies.tokensPerEvent,
    });
    this.sender = new SimulatedBackendSender(backends, clock, linkMs);
    this.admission = new RequestAdmission(random);
    const budget = new RetryBudget(UNLIMITED_RETRY_BUDGET);
    this.ports = {
      confine: (callback) => callback,
      clock,
      random,
      directory: this.directory,
      dispatcher: this.dispatcher,
      sender: this.sender,
      protocol: EXPERIMENT_PROTOCOL,
      mustIdentifyProcess: () => false,
      crashes: NO_CRASH_TRACKING,
      chargeRetry: (_request, onResult) => onResult({ isGranted: true, giveBack: () => undefined }),
      takeRetry: (service) => budget.takeRetry(service, dependencies.countGateways(), clock.now()),
      returnRetry: (service) => budget.returnRetry(service),
      onStatement: () => undefined,
      onStreamBegun: () => undefined,
      onTryOver: () => undefined,
      onEnd: () => undefined,
    };
    this.start();
  }

  /** Handles a caller's request; returns the function to call when the caller disconnects. */
  handleRequest(received: ReceivedRequest, reply: CallerReply): () => void {
    const admitted = this.admission.admit(received, this.dependencies.table);
    if (!admitted.ok) {
      sendRefusal(reply, EXPERIMENT_PROTOCOL, received.caller.requestId, admitted.val);
      return () => undefined;
    }
    const request = new ProxiedRequest(admitted.val, reply, this.ports, this.dependencies.options);
    request.begin();
    return () => request.handleCallerDisconnect();
  }

  /** Whether the process runs. */
  get isUp(): boolean {
    return this.isRunning;
  }

  /**
   * Stops the process as a power loss does: it sends and receives nothing from now on, and its
   * connections to agents are not closed.
   */
  powerOff(): void {
    this.isRunning = false;
    this.agentSenders.clear();
    this.sender.cancelAll();
  }

  private start(): void {
    const { backends, clock } = this.dependencies;
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

  private connect(backendId: string, agent: SimulatedBackend['agent']): void {
    const { clock, name } = this.dependencies;
    const known = this.directory.find(backendId)!;
    const send = agent.connect({
      receive: (message) => this.receiveFromAgent(backendId, message),
      close: () => this.reconnect(backendId, agent),
    });
    const { slots } = known.backend;
    send({ kind: 'hello', gateway: name, peersAddress: '', held: known.outstanding, slots });
    this.agentSenders.set(backendId, send);
    this.dispatcher.connectAgent(backendId, clock.now());
  }

  private receiveFromAgent(backendId: string, message: AgentSlotMessage): void {
    if (this.isRunning) {
      this.dispatcher.receiveFromAgent(backendId, message, this.dependencies.clock.now());
    }
  }

  private reconnect(backendId: string, agent: SimulatedBackend['agent']): void {
    if (this.isRunning) {
      this.agentSenders.delete(backendId);
      this.dispatcher.disconnectAgent(backendId, this.dependencies.clock.now());
      this.connect(backendId, agent);
    }
  }

  private tick(): void {
    this.dependencies.clock.setTimeout(() => {
      if (!this.isRunning) {
        return;
      }
      this.dispatcher.tick(this.dependencies.clock.now());
      for (const [backendId, send] of this.agentSenders) {
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
