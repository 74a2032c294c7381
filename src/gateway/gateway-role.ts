/** The gateway process: connects the cluster view, the dispatcher and the listeners. */
import type { AppliedRecord } from '../cluster/replicated-records.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { RecordsSource } from '../cluster/cluster-store.js';
import { AfterPollQueue } from '../after-poll-queue.js';
import { SYSTEM_CLOCK } from '../clock.js';
import type { Clock } from '../clock.js';
import type { RandomSource } from '../random.js';
import type { Backend } from '../routing/backend.js';
import type { EngineAvailability } from '../slot-agent/engine-health.js';
import type { EngineProbe } from '../slot-agent/slot-agent-role.js';
import { findUnknownRegion } from '../routing/region-lists.js';
import type { InvalidRegionsError } from '../routing/region-lists.js';
import type { OperatorRules } from '../routing/backend-restriction.js';
import type { DecodedRecord } from '../routing/decoded-record.js';
import { createOwnerComparator } from '../routing/owner-counters.js';
import { ZoneTopology } from '../routing/zone-topology.js';
import { UnknownZones } from '../routing/unknown-zones.js';
import type { RoutingConfiguration } from '../routing/configuration.js';
import { ActiveConfiguration } from './active-configuration.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { CallerListener } from './admission/caller-listener.js';
import { BackendDirectory } from './dispatch/backend-directory.js';
import { Dispatcher } from './dispatch/dispatcher.js';
import type { GatewayAdapter } from './gateway-adapter.js';
import { GatewayBackends } from './gateway-backends.js';
import { createCallerListener } from './gateway-caller-listener.js';
import { GatewayCluster } from './gateway-cluster.js';
import { GatewayCrashes } from './gateway-crashes.js';
import { GatewayEvacuations } from './gateway-evacuations.js';
import { createColdStarts } from './gateway-cold-starts.js';
import { GatewayQuotas } from './gateway-quotas.js';
import { GatewayPaths } from './gateway-paths.js';
import { GatewayProcesses } from './gateway-processes.js';
import { GatewayRequests } from './gateway-requests.js';
import { GatewayRollouts } from './gateway-rollouts.js';
import { GatewayConditions } from './gateway-conditions.js';
import { GatewayStreams } from './gateway-streams.js';
import { countBackends, listConditions } from './metrics/gateway-snapshot.js';
import type { GatewaySnapshot } from './metrics/gateway-snapshot.js';
import { PEER_TICK_MS } from './links/heartbeat-intervals.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';
import type { GatewaySettings } from './gateway-settings.js';
import { callerMemoryBytes, maxCallerConnections } from './caller-resources.js';
import { splitAddress } from '../address.js';
import {
  DEFAULT_BACKEND_SENDER_OPTIONS,
  HttpBackendSender,
} from './attempt/http-backend-sender.js';
import { sortByApplyOrder } from './apply-order.js';
import { isOwnRecord } from './own-records.js';
import type { GracefulShutdown } from './graceful-shutdown.js';
import { createShutdown } from './gateway-shutdown.js';
import { RefusedRecords } from './refused-records.js';
import { ReadinessListener } from './readiness-listener.js';
import { DEFAULT_SLOT_AGENT_LINK_OPTIONS, SlotAgentLinks } from './links/slot-agent-links.js';

/** Dependencies of `GatewayRole`. */
export interface GatewayDependencies {
  readonly settings: GatewaySettings;
  readonly adapter: GatewayAdapter;
  /** Creates the probe of the engine at an address (IP:PORT). */
  readonly createEngineProbe: (address: string) => EngineProbe;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

const MS_PER_S = 1_000;
/**
 * Interval at which the replica's progress is sent to agents and software versions are observed, in
 * ticks.
 */
const AGENT_REACH_TICKS = 3;
/** Interval at which expired state is removed and dropped log lines are reported, in ticks. */
const MAINTENANCE_TICKS = 50;
/** Delay after the start before the metrics library is loaded, in milliseconds. */
const METRICS_LOAD_MS = 3_000;

/** Runs a gateway: starts its components, applies records of the store, and stops gracefully. */
export class GatewayRole {
  private readonly cluster: GatewayCluster;
  private readonly directory: BackendDirectory;
  private readonly evacuations: GatewayEvacuations;
  private readonly places: ZoneTopology;
  private readonly backends: GatewayBackends;
  private readonly refusedRecords: RefusedRecords;
  private readonly dispatcher: Dispatcher;
  private readonly paths: GatewayPaths;
  private readonly rollouts: GatewayRollouts;
  private readonly crashes: GatewayCrashes;
  private readonly conditions: GatewayConditions;
  private readonly streams: GatewayStreams;
  private readonly afterPolls = new AfterPollQueue(SYSTEM_CLOCK);
  private readonly sender = new HttpBackendSender(
    DEFAULT_BACKEND_SENDER_OPTIONS,
    (reason) => this.dependencies.metrics.record(({ connections }) => connections.inc({ reason })),
    (address) => this.dependencies.log.write('backend-surplus', 'state', { address }),
    (backend) => this.processes.identify(backend),
    this.afterPolls,
  );
  private readonly processes: GatewayProcesses;
  private readonly listener: CallerListener;
  private readonly links: SlotAgentLinks;
  private readonly quotas: GatewayQuotas;
  private readonly requests: GatewayRequests;
  private readonly configuration: ActiveConfiguration;
  private readonly readiness = new ReadinessListener(() => this.isReady);
  private hasEnded = false;
  private ticks = 0;
  private loopDelayMs = 0;
  private readonly shutdown: GracefulShutdown;
  private onStopped: (() => void) | undefined;

  constructor(private readonly dependencies: GatewayDependencies) {
    const { settings, adapter, clock, random } = dependencies;
    const { name } = settings.process;
    const incarnation = `${name}.${Math.floor(random.next() * 2 ** 32).toString(36)}`;
    this.configuration = new ActiveConfiguration(clock);
    this.conditions = new GatewayConditions({
      ...dependencies,
      holders: () => this.quotas,
      countGateways: () => this.cluster.size,
      broadcastToPeers: (conditions) => this.cluster.broadcastConditions(conditions),
      onChange: (backendId) => this.applyCondition(backendId),
      isKnown: (backendId) => this.directory.find(backendId) !== undefined,
    });
    this.places = new ZoneTopology(settings.places.zones);
    const isEngine = (service: string) => this.configuration.isEngine(service);
    const operatorRules: OperatorRules = {
      versionUse: (backend) => this.rollouts.rollouts.versionUse(backend),
      isEvacuated: (zone) => this.evacuations.zones.isEvacuated(zone),
      regionOf: (zone) => this.places.regionOf(zone),
    };
    this.directory = new BackendDirectory(
      { ...settings.process, places: this.places },
      {
        isEngine,
        namedRegions: () => ({
          named: this.configuration.regionRestrictions?.regions ?? new Set(),
          regionOf: operatorRules.regionOf,
        }),
        ...operatorRules,
        onLocalAvailability: (service, hasNear) => this.logRegionReach(service, hasNear),
        isServiceConfigured: (service) => this.configuration.isServiceConfigured(service),
        conditionOf: (backendId) => this.conditions.conditionOf(backendId),
        onReplaced: (backendId) => this.crashes.requests.recordBackendExit(backendId, 'replaced'),
      },
    );
    this.dispatcher = new Dispatcher(this.directory, {
      sendToAgent: (backendId, message) => this.links.send(backendId, message),
      onEjected: (backendId) =>
        dependencies.log.write('backend-ejected', 'state', { backend: backendId }),
      onAvailability: (backend, availability) => this.handleAvailability(backend, availability),
      onEnded: (backendId) => this.crashes.exits.handleClosedPort(backendId),
      onUnannouncedProcess: (known) => this.crashes.exits.handleLaterProcess(known),
      isEngine,
      countGateways: () => this.cluster.size,
      tokensPerEvent: (service) => this.configuration.tokensPerEvent(service),
      ...operatorRules,
      configurationVersion: () => this.configuration.version,
      onRestricted: (reason) =>
        dependencies.metrics.record(({ requestsKept }) => requestsKept.inc({ reason })),
      onSent: (backend) => this.rollouts.rollouts.noteSent(backend),
      sendRights: this.conditions.rights,
      coldStarts: createColdStarts({
        ...dependencies,
        limits: settings.limits,
        configuration: this.configuration,
        returnedAtMs: (zone) => this.evacuations.zones.returnedAtMs(zone),
        view: () => this.cluster.view,
      }),
    });
    this.refusedRecords = new RefusedRecords(dependencies);
    this.backends = new GatewayBackends({
      ...dependencies,
      refused: this.refusedRecords,
      dispatcher: this.dispatcher,
      unknownZones: new UnknownZones(this.places),
      onIncarnationEnded: (...ids) => this.crashes.exits.handleSuccessor(...ids),
    });
    this.evacuations = new GatewayEvacuations({
      ...dependencies,
      directory: this.directory,
      dispatcher: this.dispatcher,
      places: this.places,
      storeAgeMs: () => this.cluster.storeAgeMs,
      withdrawUnsent: () => this.requests.withdrawUnsent(),
    });
    this.paths = new GatewayPaths({
      ...dependencies,
      directory: this.directory,
      sender: this.sender,
      links: () => this.links,
    });
    this.rollouts = new GatewayRollouts({
      ...dependencies,
      incarnation,
      directory: this.directory,
      countGateways: () => this.cluster.size,
      isEvacuated: operatorRules.isEvacuated,
    });
    this.crashes = new GatewayCrashes({
      ...dependencies,
      directory: this.directory,
      ownAddress: settings.listen.peers,
      peerAddresses: () => this.cluster.openPeers.map(({ address }) => address),
      broadcastToPeers: (tallies) => this.cluster.broadcastCrashes(tallies),
      refuseWaiting: () => this.requests.refuseCrashing(),
      storeAgeMs: () => this.cluster.storeAgeMs,
      openRequests: () => this.requests,
    });
    this.listener = createCallerListener({
      ...dependencies,
      receive: (head, reply) => this.requests.receive(head, reply),
      maxBodyBytes: () => this.configuration.limits.maxBodyBytes,
      callerMemoryBytes: callerMemoryBytes(settings.limits),
      maxConnections: maxCallerConnections(settings.limits),
      afterPolls: this.afterPolls,
      onFlushed: () => this.shutdown.onRequestEnded(),
    });
    this.quotas = new GatewayQuotas({
      ...dependencies,
      incarnation,
      startedAtMs: clock.now() - process.uptime() * MS_PER_S,
      places: this.places,
      quotaOf: (tenant) => this.configuration.table?.findTenantByName(tenant)?.quota,
      sendToPeer: (address, message) => this.cluster.sendTo(address, message),
      addPeers: (addresses) => this.cluster.addPeers(addresses),
      storeAgeMs: () => this.cluster.storeAgeMs,
      tenants: () => this.configuration.table?.configuration.tenants.map(({ name }) => name) ?? [],
      timeOfDayMs: () => Date.now(),
    });
    this.streams = new GatewayStreams({
      ...dependencies,
      zone: settings.process.zone,
      directory: this.directory,
      peers: () => this.cluster,
      agents: () => this.links,
    });
    this.cluster = new GatewayCluster({
      ...dependencies,
      incarnation,
      store: adapter.store,
      compareByOwner: createOwnerComparator(adapter.decode),
      quotas: this.quotas,
      rollouts: this.rollouts.rollouts,
      crashes: {
        snapshot: () => this.crashes.requests.newestTallies(),
        merge: (tallies) => this.crashes.mergePeerTallies(tallies),
      },
      statements: this.conditions,
      streams: this.streams,
      onRecords: (records, source) => this.applyRecords(records, source),
    });
    this.links = new SlotAgentLinks(
      incarnation,
      this.directory,
      () => this.dispatcher,
      this.cluster.records,
      this.cluster.exchange,
      isEngine,
      (service) => this.configuration.coldStartHello(service),
      (backend, state, reason) =>
        dependencies.log.write(`agent-${state}`, 'state', { backend, reason }),
      (answer) => this.streams.receiveAnswer(answer),
      clock,
      {
        ...DEFAULT_SLOT_AGENT_LINK_OPTIONS,
        port: settings.listen.slotAgentPort,
        peersAddress: settings.listen.peers,
        zone: settings.process.zone,
      },
    );
    this.processes = new GatewayProcesses({
      ...dependencies,
      askAgent: (backendId, onAnswer) => this.links.askProcess(backendId, onAnswer),
    });
    this.shutdown = createShutdown({
      clock,
      graceMs: settings.limits.stopGraceS * MS_PER_S,
      listener: this.listener,
      requests: () => this.requests,
      end: () => this.finishStop(),
    });
    this.requests = new GatewayRequests({
      ...dependencies,
      limits: settings.limits,
      configuration: this.configuration,
      quotas: this.quotas,
      directory: this.directory,
      dispatcher: this.dispatcher,
      sender: this.sender,
      crashes: this.crashes.requests,
      cluster: this.cluster,
      streams: this.streams,
      isRefusing: () => this.shutdown.isRefusing,
      onStatement: (head) => this.conditions.receiveResponseHead(head),
      onTryOver: ({ backend, route, isBad }) =>
        this.rollouts.rollouts.noteEnded(backend, route.name, isBad),
      onEnd: () => this.shutdown.onRequestEnded(),
    });
  }

  private get isReady(): boolean {
    return this.configuration.table !== undefined && !this.shutdown.hasBegun;
  }

  /** Starts the listeners and begins to follow the store. */
  start(): void {
    const { settings, log, metrics } = this.dependencies;
    const callers = splitAddress(settings.listen.callers);
    this.listener.server.listen(callers);
    this.readiness.listen(settings.listen.readiness);
    this.cluster.start();
    if (settings.listen.metricsPort > 0) {
      metrics.serve(settings.process.address, settings.listen.metricsPort);
    }
    this.dependencies.clock.setTimeout(
      () => void metrics.load(() => this.snapshot()),
      METRICS_LOAD_MS,
    );
    this.scheduleTick();
    log.write('started', 'state', { ...settings.listen });
  }

  /** Shuts down gracefully; calls `onStopped` when no request runs or the grace period ends. */
  stop(onStopped: () => void): void {
    if (this.shutdown.hasBegun) {
      return;
    }
    this.onStopped = onStopped;
    this.listener.closeConnectionsAfterResponse();
    this.dependencies.log.write('stopping', 'state', { active: this.requests.activeCount });
    this.shutdown.begin();
  }

  private finishStop(): void {
    this.hasEnded = true;
    this.listener.closeConnections();
    this.requests.reportProcessEnd();
    this.readiness.close();
    this.dependencies.metrics.close();
    this.sender.close();
    this.cluster.stop();
    this.crashes.stop();
    this.quotas.stop();
    this.paths.stop();
    this.links.stop();
    const connections = Object.fromEntries(this.sender.connectionsOpened);
    this.dependencies.log.write('stopped', 'state', {
      active: this.requests.activeCount,
      unflushed: this.listener.unflushedCount,
      connections,
    });
    this.dependencies.log.flush();
    this.onStopped?.();
  }

  private scheduleTick(): void {
    const dueAtMs = this.dependencies.clock.now() + PEER_TICK_MS;
    this.dependencies.clock.setTimeout(() => {
      this.loopDelayMs = Math.max(this.loopDelayMs, this.dependencies.clock.now() - dueAtMs);
      if (!this.hasEnded) {
        this.tick();
        this.scheduleTick();
      }
    }, PEER_TICK_MS);
  }

  private tick(): void {
    this.ticks += 1;
    this.paths.tick();
    this.dispatcher.tick(this.dependencies.clock.now());
    this.links.sendKeepalives();
    this.cluster.tick();
    this.quotas.tick();
    this.conditions.tick();
    this.evacuations.tick();
    this.rollouts.rollouts.tick();
    if (this.ticks % AGENT_REACH_TICKS === 0) {
      this.links.broadcastReach();
      this.observeVersions();
    }
    if (this.ticks % MAINTENANCE_TICKS === 0) {
      this.crashes.requests.evictExpired();
      this.conditions.removeStale();
      this.streams.removeExpired();
      const dropped = this.dependencies.log.logDroppedLines();
      this.dependencies.metrics.record(({ linesDropped }) => linesDropped.inc(dropped));
    }
  }

  private observeVersions(): void {
    if (this.configuration.table !== undefined) {
      this.streams.observeBackends();
    }
  }

  /** Applies records in the order of `sortByApplyOrder`. */
  private applyRecords(records: readonly AppliedRecord[], source: RecordsSource): void {
    if (records.length === 0) {
      return;
    }
    const { adapter } = this.dependencies;
    const decoded = records
      .map((record) => ({ record, decoded: adapter.decode(record) }))
      .filter(({ record, decoded: { kind } }) => record.isUnchanged !== true || isOwnRecord(kind));
    for (const update of sortByApplyOrder(decoded)) {
      this.applyRecord(update.record, update.decoded, source);
    }
    if (this.configuration.table !== undefined) {
      this.directory.endInitialListing();
    }
    this.paths.syncLinks();
  }

  private applyRecord(record: AppliedRecord, decoded: DecodedRecord, source: RecordsSource): void {
    const { log } = this.dependencies;
    if (decoded.kind === 'configuration') {
      this.installConfiguration(decoded.configuration, record, source);
    } else if (decoded.kind === 'backend') {
      this.backends.applyRecord(decoded, record);
    } else if (decoded.kind === 'evacuation') {
      this.evacuations.apply(decoded.change);
    } else if (decoded.kind === 'rollout-order') {
      this.rollouts.applyOrder(decoded.order);
    } else if (decoded.kind === 'rollout-removed') {
      this.rollouts.removeOrder(decoded.service, decoded.position);
    } else if (decoded.kind === 'rollout-status-removed') {
      this.rollouts.removeStatus(decoded.service, decoded.position);
    } else if (decoded.kind === 'rollout-status') {
      this.rollouts.applyStatus(decoded.status);
    } else if (decoded.kind === 'quota-members') {
      this.quotas.applyRecord(decoded.record);
    } else if (decoded.kind === 'crash-record') {
      this.crashes.applyRecord(decoded.record);
    } else if (decoded.kind === 'invalid' && decoded.isConfiguration) {
      const { epoch, revision } = record;
      log.write('configuration-refused', 'state', { problem: decoded.problem, epoch, revision });
    } else if (decoded.kind === 'invalid') {
      this.refusedRecords.report(record.key, decoded.problem, record);
    }
  }

  /** Applies a change of a backend's condition that affects what may be sent there. */
  private applyCondition(backendId: string): void {
    const known = this.directory.find(backendId);
    if (known !== undefined) {
      this.dispatcher.handleConditionChange(known, this.dependencies.clock.now());
    }
  }

  private logRegionReach(service: string, hasNear: boolean): void {
    const { region } = this.directory;
    this.dependencies.log.write('region-reach', 'state', { service, region, hasNear });
  }

  private handleAvailability({ id, address }: Backend, availability: EngineAvailability): void {
    this.dependencies.log.write('backend-availability', 'state', { backend: id, availability });
    if (availability === 'closed') {
      this.sender.endResting(address);
    }
  }

  /**
   * Installs a newer configuration. One that names an unknown region is refused, unless the gateway
   * has no configuration yet.
   */
  private installConfiguration(
    configuration: RoutingConfiguration,
    { epoch, revision }: StorePosition,
    source: RecordsSource,
  ): void {
    const problem = findUnknownRegion(configuration, this.places);
    if (problem !== undefined && this.configuration.version !== undefined) {
      this.logRefusedConfiguration(problem, { epoch, revision });
      return;
    }
    if (!this.configuration.install(configuration)) {
      return;
    }
    this.requests.applyConfiguration();
    this.listener.applyLimits(configuration.limits);
    const { version } = configuration;
    for (const { name } of configuration.services) {
      // The configuration decides which services are engines, so assignments may change.
      this.directory.updateSubset(name);
    }
    this.directory.recheckReplaced();
    // Sends agents the updated regions in which waiting requests may be served.
    this.dispatcher.tick(this.dependencies.clock.now());
    this.requests.withdrawUnsent();
    this.dependencies.metrics.record(({ configurationVersion }) =>
      configurationVersion.set(version),
    );
    this.dependencies.log.write('configuration-installed', 'state', {
      version: configuration.version,
      epoch,
      revision,
      routes: configuration.routes.length,
      source,
      storeAgeMs: this.cluster.storeAgeMs,
      problem: problem?.message,
    });
  }

  private logRefusedConfiguration(
    { message, key, found, allowed }: InvalidRegionsError,
    { epoch, revision }: StorePosition,
  ): void {
    const fields = { problem: message, key, found, allowed, epoch, revision };
    this.dependencies.log.write('configuration-refused', 'state', fields);
  }

  /** Current values of the gauges. */
  private snapshot(): GatewaySnapshot {
    const nowMs = this.dependencies.clock.now();
    const { loopDelayMs } = this;
    this.loopDelayMs = 0;
    return {
      storeAgeMs: this.cluster.storeAgeMs,
      storeEpoch: this.cluster.records.epoch,
      retainedRecords: this.cluster.records.countRetained(),
      configurationAgeMs: this.configuration.ageMs,
      backends: countBackends(this.directory.list(), nowMs),
      conditions: listConditions(this.directory.list(), nowMs),
      evacuatedZones: this.evacuations.zones.count,
      repeatsLeft: this.requests.repeatsLeft(nowMs),
      quotaUse: this.quotas.usageByTenant,
      quotaLevels: this.quotas.levelsByTenant,
      waiting: this.dispatcher.waitingByService(),
      loopDelayMs,
      suspectedPaths: this.paths.countSuspected(),
      crashingRequests: this.crashes.requests.count(),
      streamOrigins: this.streams.heldOrigins,
    };
  }
}
