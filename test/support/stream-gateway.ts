/** One gateway of a simulated fleet: its machine, its successive processes and its responses. */
import { PeerMesh } from '../../src/cluster/peer-mesh.js';
import type { PeerMessage } from '../../src/cluster/peer-messages.js';
import { NO_PROGRESS } from '../../src/cluster/replicated-records.js';
import { NO_POSITION } from '../../src/cluster/store-position.js';
import type { Clock } from '../../src/clock.js';
import { headerValue } from '../../src/http/header-value.js';
import { ActiveConfiguration } from '../../src/gateway/active-configuration.js';
import type { CallerProtocol } from '../../src/gateway/admission/caller-protocol.js';
import type { CallerReply } from '../../src/gateway/attempt/attempt.js';
import { CrashingRequests } from '../../src/gateway/crashes/crashing-requests.js';
import { BackendDirectory } from '../../src/gateway/dispatch/backend-directory.js';
import { ColdStartLimiter } from '../../src/gateway/dispatch/cold-start-limiter.js';
import { Dispatcher } from '../../src/gateway/dispatch/dispatcher.js';
import { GatewayRequests } from '../../src/gateway/gateway-requests.js';
import { GatewayStreams } from '../../src/gateway/gateway-streams.js';
import type { StreamPeers } from '../../src/gateway/streams/origin-replication.js';
import type { GatewayMetrics } from '../../src/gateway/metrics/gateway-metrics.js';
import { NO_STATEMENT } from '../../src/gateway/statements/backend-statement.js';
import type { OperatorRules } from '../../src/routing/backend-restriction.js';
import type { Backend } from '../../src/routing/backend.js';
import type { RoutingConfiguration } from '../../src/routing/configuration.js';
import type { DecisionLog } from '../../src/telemetry/decision-log.js';
import type { StreamFleet } from './stream-fleet.js';
import type { NetworkHost } from './virtual-network.js';

/** Zones of the fleet; machines are spread over them. */
export const ZONES = ['z0', 'z1', 'z2'] as const;
/** One-way delay between machines, in milliseconds. */
export const LINK_MS = 1;
const PEERS_PORT = 1;
const HEARTBEAT_MS = 300;
const TICK_MS = 100;
/** Age of the last change from the store at which knowledge counts as old, in milliseconds. */
const STALE_MS = 2_500;
const NO_RULES: OperatorRules = {
  isEvacuated: () => false,
  regionOf: () => undefined,
  versionUse: () => 'open',
};

/** Headers of the simulated callers and backends. */
const PROTOCOL: CallerProtocol = {
  readRequest: (headers) => ({
    requestId: headerValue(headers['id'] as string),
    deadlineMs: Number(headers['deadline']),
    apiKey: undefined,
    tokens: undefined,
    sharedPromptParts: [],
    lastEventId:
      headers['last-event'] === undefined
        ? undefined
        : headerValue(headers['last-event'] as string),
    resumedRequestId: headers['resumes'] as string | undefined,
    reservedHeaders: [],
  }),
  attemptHeaders: (_received, { lastEventId, backendName, requestId }) => [
    backendName,
    lastEventId ?? '0',
    requestId,
  ],
  readAnswer: (status, headers) => ({
    requestId: headers['request-id'] as string,
    isNotExecuted: false,
    isMisdirected: status === 421,
    statement: NO_STATEMENT,
  }),
  ownAnswerHeaders: (_requestId, retryAfterMs) => ['retry-after-ms', `${retryAfterMs ?? 0}`],
};

/** One gateway process, from its start to its end. */
export class GatewayProcess implements StreamPeers {
  readonly streams: GatewayStreams;
  readonly directory: BackendDirectory;
  readonly requests: GatewayRequests;
  readonly configuration: ActiveConfiguration;
  private readonly dispatcher: Dispatcher;
  private readonly mesh: PeerMesh;
  private storeHeardAtMs: number;

  constructor(
    readonly fleet: StreamFleet,
    readonly machine: GatewayMachine,
    private readonly host: NetworkHost,
    incarnation: string,
  ) {
    const clock = fleet.processClock(host);
    const { address, zone } = machine;
    this.storeHeardAtMs = fleet.clock.now();
    this.configuration = new ActiveConfiguration(clock);
    this.directory = new BackendDirectory(
      { name: address, zone },
      { isEngine: () => false, ...NO_RULES },
    );
    const dispatcher = new Dispatcher(this.directory, {
      sendToAgent: () => undefined,
      onEjected: () => undefined,
      onRestricted: () => undefined,
      onAvailability: () => undefined,
      ...NO_RULES,
      onSent: () => undefined,
      coldStarts: new ColdStartLimiter(),
      isEngine: () => false,
      countGateways: () => this.size,
      tokensPerEvent: () => 0,
    });
    const log = { write: (event: string) => fleet.countEvent(event) } as unknown as DecisionLog;
    const metrics = {
      record: () => undefined,
      recordEnd: () => undefined,
    } as unknown as GatewayMetrics;
    this.streams = new GatewayStreams({
      zone,
      directory: this.directory,
      clock,
      log,
      metrics,
      peers: () => this,
      agents: () => fleet.agentsSeenBy(this, host),
    });
    this.requests = new GatewayRequests({
      adapter: { protocol: PROTOCOL },
      limits: { retryRatio: 1, retryWindowS: 10, retrySlack: 10_000 } as never,
      configuration: this.configuration,
      quotas: { charge: () => undefined as never },
      directory: this.directory,
      dispatcher,
      sender: { send: (attempt, handlers) => fleet.run(host, attempt, handlers) },
      crashes: new CrashingRequests(
        {
          isProberOf: () => false,
          isLeaving: () => false,
          probe: () => undefined,
          onCrash: () => undefined,
          onTalliesChanged: () => undefined,
          onRefused: () => undefined,
        },
        clock,
      ),
      cluster: {
        size: 1,
        storeAgeMs: 0,
        position: NO_POSITION,
        isKnowledgeOld: false,
      },
      clock,
      random: fleet.random,
      log,
      metrics,
      streams: this.streams,
      isRefusing: () => false,
      onStatement: () => undefined,
      onTryOver: () => undefined,
      onEnd: () => undefined,
    });
    this.mesh = new PeerMesh(
      {
        kind: 'hello',
        role: 'gateway',
        name: address,
        incarnation,
        address: peerAddress(address),
        zone,
      },
      fleet.seeds,
      {
        onMessage: (_hello, message, reply) => this.handle(message, reply),
        onReply: (message) => this.handle(message, () => undefined),
        onOpened: () => undefined,
        onPeerChange: () => undefined,
      },
      clock,
      fleet.random,
      undefined,
      fleet.network.createPeerNetwork(host),
    );
    this.dispatcher = dispatcher;
    fleet.injectFault?.(this);
    this.mesh.listen(address, PEERS_PORT);
    this.mesh.start();
    this.schedule(HEARTBEAT_MS, () => {
      this.mesh.broadcast({ kind: 'reach', reach: NO_PROGRESS });
      this.mesh.reconnectSilentPeers(STALE_MS);
    });
    this.schedule(TICK_MS, () => this.tick());
  }

  get size(): number {
    return this.mesh.size;
  }

  get peerGeneration(): number {
    return this.mesh.generation;
  }

  get openPeers() {
    return this.mesh.openPeers;
  }

  get isKnowledgeOld(): boolean {
    return this.fleet.clock.now() - this.storeHeardAtMs > STALE_MS;
  }

  isPeerHeard(address: string): boolean {
    return this.mesh.hasHeardFrom(address, HEARTBEAT_MS * 2);
  }

  sendTo(address: string, message: PeerMessage): boolean {
    return this.mesh.sendTo(address, message);
  }

  /** Applies a backend's record; undefined if it was removed. */
  applyBackend(id: string, backend: Backend | undefined): void {
    this.dispatcher.updateBackend(id, backend, this.fleet.clock.now());
  }

  /** Installs a configuration. */
  applyConfiguration(configuration: RoutingConfiguration): void {
    if (this.configuration.install(configuration)) {
      this.directory.endInitialListing();
    }
  }

  noteStoreHeard(): void {
    this.storeHeardAtMs = this.fleet.clock.now();
  }

  private tick(): void {
    this.dispatcher.tick(this.fleet.clock.now());
    if (this.configuration.table !== undefined) {
      this.streams.observeBackends();
    }
    this.streams.removeExpired();
  }

  private handle(message: PeerMessage, reply: (message: PeerMessage) => void): void {
    if (message.kind === 'stream-began') {
      this.streams.hold(message.origin);
    } else if (message.kind === 'stream-ask') {
      reply(this.streams.answer(message));
    } else if (message.kind === 'stream-answer') {
      this.streams.receiveAnswer(message);
    }
  }

  private schedule(periodMs: number, action: () => void): void {
    this.fleet.clock.setTimeout(
      () =>
        this.host.runWhenActive(() => {
          action();
          this.schedule(periodMs, action);
        }),
      periodMs,
    );
  }
}

/** A machine and the successive gateway processes that run on it. */
export class GatewayMachine {
  process: GatewayProcess | undefined;
  readonly zone: string;
  /** Whether the machine gets no changes from the store. */
  isCutFromStore = false;
  private starts = 0;
  private pausedUntilMs = 0;
  /** What arrived during a pause. */
  private deferred: Array<() => void> = [];
  private host: NetworkHost | undefined;
  private readonly replies = new Set<SimulatedReply>();

  constructor(
    readonly index: number,
    private readonly fleet: StreamFleet,
  ) {
    this.zone = ZONES[index % ZONES.length]!;
  }

  get address(): string {
    return `g${this.index}`;
  }

  start(): void {
    this.starts += 1;
    const start = this.starts;
    this.host = {
      address: this.address,
      runWhenActive: (action) => this.runInStart(start, action),
    };
    this.process = new GatewayProcess(this.fleet, this, this.host, `${this.address}.${start}`);
    this.fleet.sendListing(this);
  }

  kill(downMs: number): void {
    if (this.process === undefined) {
      return;
    }
    this.fleet.network.endProcess(this.host!);
    this.process = undefined;
    this.pausedUntilMs = 0;
    this.deferred = [];
    this.starts += 1;
    this.replies.forEach((reply) => reply.breakOff());
    this.replies.clear();
    this.fleet.clock.setTimeout(() => this.start(), downMs);
  }

  pause(forMs: number): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, this.fleet.clock.now() + forMs);
    this.fleet.clock.setTimeout(() => this.wake(), this.pausedUntilMs - this.fleet.clock.now() + 1);
  }

  /** Passes a caller's request to the process; returns false if none is ready. */
  receive(headers: Record<string, string>, reply: SimulatedReply): boolean {
    if (this.process?.configuration.table === undefined) {
      return false;
    }
    const { process } = this;
    this.replies.add(reply);
    this.runInStart(this.starts, () => {
      const handlers = process.requests.receive(
        { method: 'GET', path: '/a/x', host: 'a.example', rawHeaders: [], headers },
        reply,
      );
      reply.onLeft = () => {
        this.replies.delete(reply);
        this.runInStart(this.starts, () => handlers.onCallerDisconnected());
      };
      handlers.onBody(Buffer.alloc(0));
    });
    return true;
  }

  /** Runs `action` in that process: after any pause, in order, and not once it has ended. */
  private runInStart(start: number, action: () => void): void {
    if (start !== this.starts) {
      return;
    }
    // What arrives before the process has caught up after a pause is handled after the rest.
    if (this.fleet.clock.now() < this.pausedUntilMs || this.deferred.length > 0) {
      this.deferred.push(() => this.runInStart(start, action));
    } else {
      action();
    }
  }

  private wake(): void {
    if (this.fleet.clock.now() >= this.pausedUntilMs) {
      const { deferred } = this;
      this.deferred = [];
      deferred.forEach((action) => action());
    }
  }
}

/** The response to one request, as its caller receives it after the link delay. */
export class SimulatedReply implements CallerReply {
  status = 0;
  onLeft: () => void = () => undefined;
  private isOver = false;
  private retryAfterMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly onEvent: (id: number, version: string) => void,
    private readonly onOver: (isComplete: boolean, retryAfterMs: number) => void,
  ) {}

  start(status: number, headers: readonly string[]): void {
    this.status = status;
    this.retryAfterMs = Number(headers[headers.indexOf('retry-after-ms') + 1]);
  }

  write(bytes: Buffer): boolean {
    const text = bytes.toString();
    this.clock.setTimeout(() => {
      for (const [, id, version] of text.matchAll(/id: (\d+)\ndata: (.+)\n\n/g)) {
        if (!this.isOver) {
          this.onEvent(Number(id), version!);
        }
      }
    }, LINK_MS);
    return true;
  }

  end(): void {
    this.finish(this.status === 200);
  }

  abort(): void {
    this.finish(false);
  }

  /** Ends the connection since its gateway was killed; what it has written still arrives. */
  breakOff(): void {
    this.finish(false);
  }

  /** Ends the connection by the caller. */
  leave(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.onLeft();
      this.onOver(false, 0);
    }
  }

  onceDrained(): void {
    // Simulated callers apply no backpressure.
  }

  private finish(isComplete: boolean): void {
    this.clock.setTimeout(() => {
      if (!this.isOver) {
        this.isOver = true;
        this.onOver(isComplete, this.status === 200 ? 0 : this.retryAfterMs);
      }
    }, LINK_MS + 0.001);
  }
}

/** Returns the address at which a gateway accepts peers. */
export function peerAddress(address: string): string {
  return `${address}:${PEERS_PORT}`;
}
