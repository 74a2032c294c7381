/**
 * Process role of a slot agent, the sidecar of one engine: listens for gateways and probes the
 * engine.
 *
 * It also holds a replica of the store's records and serves it to gateways that start. If all
 * gateways were killed during an outage of the store, agents are the only source of these records.
 */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { DEFAULT_PEER_MESH_OPTIONS, PeerMesh } from '../cluster/peer-mesh.js';
import { RecordExchange } from '../cluster/record-exchange.js';
import { ReplicatedRecords } from '../cluster/replicated-records.js';
import type { AppliedRecord } from '../cluster/replicated-records.js';
import type { Clock, TimerHandle } from '../clock.js';
import type { DecodeRecord } from '../routing/decoded-record.js';
import type { ColdStartLimits } from '../routing/cold-start.js';
import { createOwnerComparator } from '../routing/owner-counters.js';
import type { ZoneTopology } from '../routing/zone-topology.js';
import { distanceFrom } from '../routing/locality.js';
import { MessageChannel } from '../protocol/message-channel.js';
import type { RandomSource } from '../random.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { SlotAgentMetrics } from './slot-agent-metrics.js';
import type { ClosedCause, EngineAvailability, EngineProbeResult } from './engine-health.js';
import { EngineColdStart } from './engine-cold-start.js';
import { EngineReplicaView } from './engine-replica-view.js';
import type { EngineLocation } from './engine-replica-view.js';
import type { ForbiddenTake } from './slot-allocator.js';
import { DEFAULT_GATEWAY_TIMEOUT_OPTIONS } from './gateway-session.js';
import { SlotAllocator } from './slot-allocator.js';
import { StreamOriginTable } from '../streams/stream-origin-table.js';
import type { StreamOriginQuery } from '../streams/stream-origin.js';
import { ProcessQueryQueue } from './process-query-queue.js';
import type { PendingProcessQuery } from './process-query-queue.js';
import type {
  AgentRefusal,
  AgentToGateway,
  GatewayToAgent,
  GatewaySlotMessage,
} from './slot-messages.js';

/**
 * Probes the engine's status report; resolves within a short timeout whether or not the engine
 * responds.
 */
export type EngineProbe = () => Promise<EngineProbeResult>;

/** Intervals and delays of an agent, in milliseconds. */
export interface SlotAgentOptions {
  /**
   * Interval between probes while slots are unaccounted for or the engine's health is uncertain.
   * Default 60.
   */
  readonly fastProbeIntervalMs: number;
  /**
   * Interval between probes while requests run or wait, in milliseconds: an engine that hangs
   * closes no connection. Default 300.
   */
  readonly probeIntervalMs: number;
  /**
   * Interval between probes of an idle engine, in milliseconds. They show a restart before the next
   * request, since a process that restarted may run other software. Default 1,000.
   */
  readonly idleProbeIntervalMs: number;
  /** Interval between heartbeats to gateways. Default 300. */
  readonly heartbeatIntervalMs: number;
  /**
   * Delay in which changes of the occupied count are batched while slots are free, in milliseconds.
   * Default 250: less than the heartbeat interval, so that a busy agent sends each gateway few more
   * state messages than an idle one.
   */
  readonly stateBatchDelayMs: number;
  /**
   * Interval between checks for overdue keepalives, while any gateway must send them. Default 50.
   */
  readonly keepaliveCheckIntervalMs: number;
}

/** Identity and initial peers of an agent. */
export interface SlotAgentIdentity {
  readonly name: string;
  /** Engine that the agent serves. */
  readonly engine: EngineLocation;
  /** Addresses of the first gateways to connect to, IP:PORT. */
  readonly seeds: readonly string[];
}

/** Dependencies of an agent. */
export interface SlotAgentDependencies {
  readonly identity: SlotAgentIdentity;
  readonly places: ZoneTopology;
  readonly limits: ColdStartLimits;
  /** Decodes a record of the store. */
  readonly decode: DecodeRecord;
  readonly probeEngine: EngineProbe;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: SlotAgentMetrics;
}

/** Listen addresses of an agent. */
export interface SlotAgentListen {
  readonly host: string;
  /** Port for gateways. */
  readonly port: number;
  /** Port of the metrics endpoint; 0 disables it. */
  readonly metricsPort: number;
}

/** Delay from the start until the metrics library is loaded, in milliseconds. */
const METRICS_LOAD_DELAY_MS = 5_000;

/**
 * Killed gateways restart within a second, and the replica must reach them shortly after.
 * Connections to a few gateways are enough, since gateways forward the records to each other.
 */
const REPLICA_MESH_OPTIONS = {
  ...DEFAULT_PEER_MESH_OPTIONS,
  retryMaxMs: 600,
  maxFailures: 100,
  maxConnections: 3,
};

/** Default intervals and delays of an agent. */
export const DEFAULT_SLOT_AGENT_OPTIONS: SlotAgentOptions = {
  fastProbeIntervalMs: 60,
  probeIntervalMs: 300,
  idleProbeIntervalMs: 1_000,
  heartbeatIntervalMs: 300,
  stateBatchDelayMs: 250,
  keepaliveCheckIntervalMs: 50,
};

/** Slot agent of one engine. */
export class SlotAgentRole {
  private readonly clock: Clock;
  private readonly server: Server;
  private readonly channels = new Map<number, MessageChannel<AgentToGateway, GatewayToAgent>>();
  private readonly allocator: SlotAllocator;
  private readonly engineView: EngineReplicaView;
  private readonly coldStart: EngineColdStart;
  private wasCold = false;
  private resumeTimer: TimerHandle | undefined;
  private readonly records: ReplicatedRecords;
  private readonly exchange: RecordExchange;
  /** Held for gateways: agents outlive a crash of all gateways. */
  private readonly streamOrigins = new StreamOriginTable();
  /** Queries of gateways that the next probe answers. */
  private readonly processQueries = new ProcessQueryQueue();
  private readonly mesh: PeerMesh;
  private nextConnection = 1;
  private isProbing = false;
  private probeTimer: TimerHandle | undefined;
  private probeDueAtMs = Infinity;
  private lastProbeAtMs = -Infinity;
  /** Start time in the last report of the engine, in Unix milliseconds of its clock. */
  private engineBornAtMs: number | undefined;
  /** Whether the engine has ever answered a probe. */
  private hasEngineAnswered = false;
  private isKeepaliveCheckScheduled = false;
  private isStopped = false;

  constructor(
    private readonly dependencies: SlotAgentDependencies,
    private readonly options: SlotAgentOptions = DEFAULT_SLOT_AGENT_OPTIONS,
  ) {
    const { identity, clock, random, metrics } = dependencies;
    this.clock = clock;
    this.engineView = new EngineReplicaView(identity.engine, dependencies.places);
    this.coldStart = new EngineColdStart(
      () => this.engineRecords(),
      dependencies.limits,
      clock.now(),
    );
    this.allocator = new SlotAllocator(
      {
        send: (connection, message) => this.channels.get(connection)?.send(message),
        onGranted: () => metrics.record(({ grants }) => grants.inc()),
        onChangesPending: () =>
          clock.setTimeout(
            () => this.allocator.sendChanges(clock.now()),
            this.options.stateBatchDelayMs,
          ),
        onReconciled: (slots) => this.noteReconciled(slots),
        onProbeNeeded: () => this.scheduleProbe(0),
        onAvailability: (...change) => this.noteAvailability(...change),
        distanceTo: (zone) =>
          distanceFrom({ zone: identity.engine.zone, places: dependencies.places }, zone),
        restriction: (allowedRegions, homeOwner) =>
          this.engineView.restriction(allowedRegions, homeOwner),
        regionInfo: () => this.engineView.regionInfo,
        onForbiddenTake: (take) => this.noteForbiddenTake(take),
        startRules: (nowMs) => this.coldStart.startRules(nowMs),
        onStartsDelayed: (resumeInMs) => this.scheduleResume(resumeInMs),
      },
      DEFAULT_GATEWAY_TIMEOUT_OPTIONS,
      clock.now(),
    );
    this.records = new ReplicatedRecords(createOwnerComparator(dependencies.decode));
    this.server = createServer((socket) => this.accept(socket));
    this.exchange = new RecordExchange(
      this.records,
      { isStoreReachable: () => false, onApplied: (records) => this.applyRecords(records) },
      clock,
    );
    const { name, seeds } = identity;
    this.mesh = new PeerMesh(
      { kind: 'hello', role: 'replica', name, incarnation: name, address: '' },
      seeds,
      {
        onMessage: () => undefined,
        onReply: (message, reply) => {
          if (message.kind === 'fetch') {
            reply(this.exchange.handleFetch(message));
          }
        },
        onOpened: (send) => send({ kind: 'reach', reach: this.records.progress }),
        onPeerChange: () => undefined,
      },
      clock,
      random,
      REPLICA_MESH_OPTIONS,
    );
  }

  /** Starts the listener for gateways, the replica mesh, the heartbeats and the metrics endpoint. */
  start({ host, port, metricsPort }: SlotAgentListen): void {
    const { metrics, log } = this.dependencies;
    this.server.listen(port, host);
    this.mesh.start();
    this.sendHeartbeats();
    this.scheduleNextProbe();
    if (metricsPort > 0) {
      metrics.serve(host, metricsPort);
      this.clock.setTimeout(
        () => void metrics.load(() => this.allocator.snapshot),
        METRICS_LOAD_DELAY_MS,
      );
    }
    log.write('started', 'state', { port, metricsPort });
  }

  /** Stops listening and closes every connection. */
  stop(): void {
    this.isStopped = true;
    this.server.close();
    this.mesh.stop();
    this.dependencies.metrics.close();
    for (const channel of this.channels.values()) {
      channel.close();
    }
    this.dependencies.log.write('stopped', 'state');
    this.dependencies.log.flush();
  }

  /** Applies new records of the store. */
  private applyRecords(records: readonly AppliedRecord[]): void {
    const previousVersion = this.engineView.regionInfo?.configuration;
    const { decode, identity, log } = this.dependencies;
    for (const record of records.filter(({ isUnchanged }) => isUnchanged !== true)) {
      const decoded = decode(record);
      this.engineView.apply(decoded, this.clock.now());
      if (decoded.kind === 'evacuation' && decoded.change.zone === identity.engine.zone) {
        const { zone: evacuatedZone, isOrdered, epoch, revision } = decoded.change;
        const { snapshot } = this.allocator;
        const order = { evacuatedZone, isOrdered, epoch, revision };
        log.write('zone-evacuation', 'state', { ...order, ...snapshot });
      }
    }
    if (this.engineView.regionInfo?.configuration !== previousVersion) {
      this.allocator.onRestrictionsChanged(this.clock.now());
    }
    this.coldStart.updateFromRecords(this.clock.now());
    this.logColdStateChange();
    this.allocator.resumeGrants(this.clock.now());
  }

  private accept(socket: Socket): void {
    const connection = this.nextConnection;
    this.nextConnection += 1;
    const channel = new MessageChannel<AgentToGateway, GatewayToAgent>(socket, {
      onMessage: (message) => this.receive(connection, message),
      onClose: () => this.removeConnection(connection),
    });
    this.channels.set(connection, channel);
  }

  private removeConnection(connection: number): void {
    const gateway = this.allocator.describe(connection);
    if (gateway !== undefined) {
      this.dependencies.log.write('gateway-lost', 'state', gateway);
    }
    this.channels.delete(connection);
    this.allocator.disconnect(connection, this.clock.now());
    this.scheduleNextProbe();
  }

  private noteReconciled(slots: number): void {
    this.dependencies.metrics.record(({ slotsReconciled }) => slotsReconciled.inc(slots));
    this.dependencies.log.write('slots-reconciled', 'state', {
      freed: slots,
      ...this.allocator.snapshot,
    });
  }

  private noteForbiddenTake(take: ForbiddenTake): void {
    const { reason } = take;
    this.dependencies.metrics.record(({ forbiddenTakes }) => forbiddenTakes.inc({ reason }));
    this.dependencies.log.write('slot-taken-forbidden', 'failure', { ...take });
  }

  private engineRecords() {
    const { engineView } = this;
    const { zone } = this.dependencies.identity.engine;
    return {
      service: engineView.service,
      backend: engineView.backend,
      zoneReturnedAtMs: engineView.evacuations.returnedAtMs(zone),
    };
  }

  /** Schedules another attempt to grant slots once the start rate limit permits it. */
  private scheduleResume(delayMs: number): void {
    if (this.isStopped || this.resumeTimer !== undefined || !Number.isFinite(delayMs)) {
      return;
    }
    this.dependencies.metrics.record(({ grantsHeldBack }) => grantsHeldBack.inc());
    this.resumeTimer = this.clock.setTimeout(() => {
      this.resumeTimer = undefined;
      this.allocator.resumeGrants(this.clock.now());
    }, delayMs);
  }

  /** Logs when the engine becomes cold or warm. */
  private logColdStateChange(): void {
    const nowMs = this.clock.now();
    const coldState = this.coldStart.coldState(nowMs);
    if ((coldState !== undefined) === this.wasCold) {
      return;
    }
    this.wasCold = coldState !== undefined;
    const event = this.wasCold ? 'cold-limit-entered' : 'cold-limit-left';
    this.dependencies.log.write(event, 'state', {
      reason: coldState?.reason,
      ageMs: coldState && nowMs - coldState.sinceMs,
      leftMs: coldState && coldState.untilMs - nowMs,
      epoch: this.coldStart.announcementPosition?.epoch,
      revision: this.coldStart.announcementPosition?.revision,
    });
  }

  private noteAvailability(
    availability: EngineAvailability,
    cause: ClosedCause | undefined,
    startedAtMs: number | undefined,
  ): void {
    const isUnreachable = cause === 'port-closed' || cause === 'silent';
    const processStartMs = cause === 'port-closed' ? undefined : startedAtMs;
    this.coldStart.setUnreachable(isUnreachable, this.clock.now(), processStartMs);
    this.dependencies.metrics.record(({ availabilityChanges }) =>
      availabilityChanges.inc({ availability }),
    );
    this.dependencies.log.write('engine-availability', 'state', {
      availability,
      cause,
      ...this.allocator.snapshot,
    });
  }

  private receive(connection: number, message: GatewayToAgent): void {
    if (message.kind === 'records') {
      this.exchange.handleResponse(message);
    } else if (message.kind === 'stream-began') {
      this.streamOrigins.hold(message.origin, this.clock.now());
    } else if (message.kind === 'stream-ask') {
      this.answerStreamQuery(connection, message);
    } else if (message.kind === 'process-ask') {
      this.processQueries.add({ connection, id: message.id });
      this.scheduleProbe(0);
    } else if (message.kind === 'reach') {
      this.exchange.handleProgress(`${connection}`, message.reach, (fetch) =>
        this.channels.get(connection)?.send(fetch),
      );
    } else {
      this.receiveSlotMessage(connection, message);
    }
  }

  private answerStreamQuery(connection: number, { id, key }: StreamOriginQuery): void {
    const origin = key && this.streamOrigins.report(key, this.clock.now());
    this.channels.get(connection)?.send({ kind: 'stream-answer', id, origin });
  }

  /** Logs when another process answers at the engine's address than before. */
  private noteEngineProcess(result: EngineProbeResult): void {
    const { engineBornAtMs: previousBornAtMs } = this;
    if (result.kind !== 'load' || result.bornAtMs === previousBornAtMs) {
      return;
    }
    this.engineBornAtMs = result.bornAtMs;
    const { bornAtMs } = result;
    this.dependencies.log.write('engine-process', 'state', { bornAtMs, previousBornAtMs });
  }

  private answerProcessQueries(
    queries: readonly PendingProcessQuery[],
    result: EngineProbeResult,
  ): void {
    const { address } = this.dependencies.identity.engine;
    const bornAtMs = result.kind === 'load' ? result.bornAtMs : undefined;
    for (const { connection, id } of queries) {
      this.channels.get(connection)?.send({ kind: 'process-answer', id, address, bornAtMs });
    }
  }

  private receiveSlotMessage(connection: number, message: GatewaySlotMessage): void {
    if (message.kind === 'hello') {
      this.mesh.addAddresses([message.peersAddress]);
      this.coldStart.applyHello(message.coldStart);
    } else if (!this.allocator.isAdmitted(connection)) {
      this.refuse(connection, 'hello-missing');
      return;
    }
    if (message.kind === 'demand') {
      this.coldStart.applyDemand(message, this.clock.now());
    }
    this.allocator.receive(connection, message, this.clock.now());
    if (message.kind === 'hello') {
      this.dependencies.log.write(
        'gateway-connected',
        'state',
        this.allocator.describe(connection),
      );
    }
    this.scheduleKeepaliveCheck();
    this.scheduleNextProbe();
  }

  /** Sends the reason to the gateway, if it is still connected, and closes the connection. */
  private refuse(connection: number, reason: AgentRefusal['reason']): void {
    const channel = this.channels.get(connection);
    const { log, metrics } = this.dependencies;
    log.write('gateway-refused', 'state', { reason, ...this.allocator.describe(connection) });
    metrics.record(({ gatewaysEnded }) => gatewaysEnded.inc({ reason }));
    channel?.send({ kind: 'refused', reason });
    channel?.flush();
    channel?.close();
  }

  private scheduleKeepaliveCheck(): void {
    if (
      this.isStopped ||
      this.isKeepaliveCheckScheduled ||
      !this.allocator.isAnyKeepaliveExpected
    ) {
      return;
    }
    this.isKeepaliveCheckScheduled = true;
    this.clock.setTimeout(() => {
      this.isKeepaliveCheckScheduled = false;
      for (const connection of this.allocator.findTimedOut(this.clock.now())) {
        this.refuse(connection, 'silent');
      }
      this.scheduleKeepaliveCheck();
    }, this.options.keepaliveCheckIntervalMs);
  }

  private sendHeartbeats(): void {
    if (this.isStopped) {
      return;
    }
    this.logColdStateChange();
    this.streamOrigins.evictExpired(this.clock.now());
    this.allocator.sendHeartbeat(this.options.heartbeatIntervalMs, this.clock.now());
    this.clock.setTimeout(() => this.sendHeartbeats(), this.options.heartbeatIntervalMs);
  }

  /**
   * Schedules the next probe: soon while the engine's state is uncertain, less often while requests
   * run, and rarely while it is idle. The first request after an idle time causes a probe at once,
   * so that gateways know the process that runs it before its first event.
   */
  private scheduleNextProbe(): void {
    const { fastProbeIntervalMs, probeIntervalMs, idleProbeIntervalMs } = this.options;
    if (!this.processQueries.isEmpty) {
      this.scheduleProbe(0);
      return;
    }
    if (this.allocator.needsProbe(this.clock.now())) {
      this.scheduleProbe(fastProbeIntervalMs);
      return;
    }
    const isIdle = !this.allocator.isAnyKeepaliveExpected;
    const intervalMs = isIdle ? idleProbeIntervalMs : probeIntervalMs;
    const sinceProbeMs = this.clock.now() - this.lastProbeAtMs;
    this.scheduleProbe(Math.max(0, intervalMs - sinceProbeMs));
  }

  /** Probes the engine after `delayMs`, unless an earlier probe is scheduled. */
  private scheduleProbe(delayMs: number): void {
    const dueAtMs = this.clock.now() + delayMs;
    if (this.isStopped || this.isProbing || this.probeDueAtMs <= dueAtMs) {
      return;
    }
    this.clock.clearTimeout(this.probeTimer);
    this.probeDueAtMs = dueAtMs;
    this.probeTimer = this.clock.setTimeout(() => void this.probe(), delayMs);
  }

  private async probe(): Promise<void> {
    this.isProbing = true;
    this.probeDueAtMs = Infinity;
    this.lastProbeAtMs = this.clock.now();
    const queries = this.processQueries.take();
    const result = await this.dependencies.probeEngine();
    this.isProbing = false;
    this.answerProcessQueries(queries, result);
    this.noteEngineProcess(result);
    if (result.kind !== 'load') {
      this.dependencies.metrics.record(({ reportsFailed }) => reportsFailed.inc());
    }
    this.hasEngineAnswered ||= result.kind === 'load';
    // An idle engine that has not answered yet may still be starting: it has not ended.
    if (this.hasEngineAnswered || this.allocator.isAnyKeepaliveExpected) {
      this.allocator.applyProbeResult(result, this.clock.now());
    }
    this.scheduleKeepaliveCheck();
    this.scheduleNextProbe();
  }
}
