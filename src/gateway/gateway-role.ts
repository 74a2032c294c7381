/** The gateway: joins the cluster's state, the dispatcher and the listeners. */
import type { RecordNews } from '../cluster/replicated-records.js';
import type { StorePosition } from '../cluster/store-position.js';
import type { RecordsSource } from '../cluster/cluster-store.js';
import type { Clock } from '../clock.js';
import type { RandomSource } from '../random.js';
import type { Backend } from '../routing/backend.js';
import type { EngineAvailability } from '../slot-agent/engine-watch.js';
import { findUnknownHome } from '../routing/home-regions.js';
import type { InvalidHomesError } from '../routing/home-regions.js';
import type { OperatorRules } from '../routing/backend-restriction.js';
import type { DecodedRecord } from '../routing/decoded-record.js';
import { createCompareByOwner } from '../routing/owner-counts.js';
import { Places } from '../routing/places.js';
import { UnknownZones } from '../routing/unknown-zones.js';
import type { RoutingConfiguration } from '../routing/configuration.js';
import { ConfigurationInForce } from './configuration-in-force.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { CallerListener } from './admission/caller-listener.js';
import type { EndingEvidence } from './crashes/broken-runs.js';
import { BackendDirectory } from './dispatch/backend-directory.js';
import { Dispatcher } from './dispatch/dispatcher.js';
import type { GatewayAdapter } from './gateway-adapter.js';
import { GatewayBackends } from './gateway-backends.js';
import { GatewayCluster } from './gateway-cluster.js';
import { GatewayCrashes } from './gateway-crashes.js';
import { GatewayEvacuations } from './gateway-evacuations.js';
import { createColdStarts } from './gateway-cold-starts.js';
import { GatewayQuotas } from './gateway-quotas.js';
import { GatewayPaths } from './gateway-paths.js';
import { GatewayRequests } from './gateway-requests.js';
import { GatewayRollouts } from './gateway-rollouts.js';
import { GatewayStatements } from './gateway-statements.js';
import { countBackends, listConditions } from './metrics/gateway-snapshot.js';
import type { GatewaySnapshot } from './metrics/gateway-snapshot.js';
import { PEER_TICK_MS } from './links/beat-times.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';
import type { GatewaySettings } from './gateway-settings.js';
import { splitAddress } from '../address.js';
import {
  DEFAULT_BACKEND_SENDER_OPTIONS,
  HttpBackendSender,
} from './attempt/http-backend-sender.js';
import { inOrderOfEffect } from './news-order.js';
import { PlannedStop } from './planned-stop.js';
import { ReadinessListener } from './readiness-listener.js';
import { DEFAULT_SLOT_AGENT_LINK_OPTIONS, SlotAgentLinks } from './links/slot-agent-links.js';

/** Records that gateways write, and the orders that states of roll-outs belong to. */
const OWN_RECORD_KINDS: ReadonlySet<DecodedRecord['kind']> = new Set([
  'crash-record',
  'quota-members',
  'rollout-order',
  'rollout-status',
]);

/** What a gateway is made from. */
export interface GatewayParts {
  readonly settings: GatewaySettings;
  readonly adapter: GatewayAdapter;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

const MS_PER_S = 1_000;
/** Pause between two words to agents on how far the replica reaches, in ticks. */
const AGENT_REACH_TICKS = 3;
/** Pause between two looks at what is to be told or forgotten, in ticks. */
const UPKEEP_TICKS = 50;
/** Time from the start until the library of the metrics is loaded, in milliseconds. */
const METRICS_LOAD_MS = 3_000;

/** The gateway. */
export class GatewayRole {
  private readonly cluster: GatewayCluster;
  private readonly directory: BackendDirectory;
  private readonly evacuations: GatewayEvacuations;
  private readonly places: Places;
  private readonly backends: GatewayBackends;
  private readonly dispatcher: Dispatcher;
  private readonly paths: GatewayPaths;
  private readonly rollouts: GatewayRollouts;
  private readonly crashes: GatewayCrashes;
  private readonly statements: GatewayStatements;
  private readonly sender = new HttpBackendSender(DEFAULT_BACKEND_SENDER_OPTIONS, (reason) =>
    this.parts.metrics.record(({ connections }) => connections.inc({ reason })),
  );
  private readonly listener: CallerListener;
  private readonly links: SlotAgentLinks;
  private readonly quotas: GatewayQuotas;
  private readonly requests: GatewayRequests;
  private readonly configuration: ConfigurationInForce;
  private readonly readiness = new ReadinessListener(() => this.isReady);
  private hasEnded = false;
  private ticks = 0;
  private loopDelayMs = 0;
  private readonly plannedStop: PlannedStop;
  private onStopped: (() => void) | undefined;

  constructor(private readonly parts: GatewayParts) {
    const { settings, adapter, clock, random } = parts;
    const { name } = settings.process;
    const incarnation = `${name}.${Math.floor(random.next() * 2 ** 32).toString(36)}`;
    this.configuration = new ConfigurationInForce(clock);
    this.statements = new GatewayStatements({
      ...parts,
      holders: () => this.quotas,
      countGateways: () => this.cluster.size,
      tellPeers: (conditions) => this.cluster.tellConditions(conditions),
      onChange: (backendId) => this.followCondition(backendId),
      isKnown: (backendId) => this.directory.find(backendId) !== undefined,
    });
    this.places = new Places(settings.places.zones);
    const isEngine = (service: string) => this.configuration.isEngine(service);
    const orders: OperatorRules = {
      versionUse: (backend) => this.rollouts.rollouts.useOf(backend),
      isEvacuated: (zone) => this.evacuations.zones.isEvacuated(zone),
      regionOf: (zone) => this.places.regionOf(zone),
    };
    this.directory = new BackendDirectory(
      { ...settings.process, places: this.places },
      {
        isEngine,
        homeRegions: () => ({
          named: this.configuration.homes?.regions ?? new Set(),
          regionOf: orders.regionOf,
        }),
        ...orders,
        onReach: (service, hasNear) => this.noteReach(service, hasNear),
        isNamed: (service) => this.configuration.isNamed(service),
        conditionOf: (backendId) => this.statements.of(backendId),
        onReplaced: (backendId) => this.crashes.requests.noteEnded(backendId, 'replaced'),
      },
    );
    this.dispatcher = new Dispatcher(this.directory, {
      sendToAgent: (backendId, message) => this.links.send(backendId, message),
      onEjected: (backendId) => parts.log.write('backend-ejected', 'state', { backend: backendId }),
      onAvailability: (backend, availability) => this.noteAvailability(backend, availability),
      onEnded: (backendId) => this.noteEnded(backendId, 'agent'),
      isEngine,
      countGateways: () => this.cluster.size,
      tokensPerEvent: (service) => this.configuration.tokensPerEvent(service),
      ...orders,
      configurationVersion: () => this.configuration.version,
      onKept: (reason) => parts.metrics.record(({ requestsKept }) => requestsKept.inc({ reason })),
      onSent: (backend) => this.rollouts.rollouts.noteSent(backend),
      sendRights: this.statements.rights,
      coldStarts: createColdStarts({
        ...parts,
        limits: settings.limits,
        configuration: this.configuration,
        returnedAtMs: (zone) => this.evacuations.zones.returnedAtMs(zone),
        view: () => this.cluster.view,
      }),
    });
    this.backends = new GatewayBackends({
      ...parts,
      dispatcher: this.dispatcher,
      unknownZones: new UnknownZones(this.places),
      onLifeOver: (backendId) => this.noteEnded(backendId, 'replaced'),
    });
    this.evacuations = new GatewayEvacuations({
      ...parts,
      directory: this.directory,
      dispatcher: this.dispatcher,
      places: this.places,
      storeAgeMs: () => this.cluster.storeAgeMs,
      withdrawUnsent: () => this.requests.withdrawUnsent(),
    });
    this.paths = new GatewayPaths({
      ...parts,
      directory: this.directory,
      sender: this.sender,
      links: () => this.links,
    });
    this.rollouts = new GatewayRollouts({
      ...parts,
      incarnation,
      directory: this.directory,
      countGateways: () => this.cluster.size,
      isEvacuated: orders.isEvacuated,
    });
    this.crashes = new GatewayCrashes({
      ...parts,
      directory: this.directory,
      tellPeers: (news) => this.cluster.tellCrashes(news),
      refuseWaiting: () => this.requests.refuseCrashing(),
    });
    this.listener = new CallerListener(
      (head, reply) => this.requests.take(head, reply),
      () => this.configuration.limits.maxBodyBytes,
    );
    const { limits } = settings;
    this.quotas = new GatewayQuotas({
      ...parts,
      incarnation,
      startedAtMs: clock.now() - process.uptime() * MS_PER_S,
      places: this.places,
      quotaOf: (tenant) => this.configuration.table?.tenantNamed(tenant)?.quota,
      sendToPeer: (address, message) => this.cluster.sendTo(address, message),
      learnPeers: (addresses) => this.cluster.learnPeers(addresses),
      storeAgeMs: () => this.cluster.storeAgeMs,
      tenants: () => this.configuration.table?.configuration.tenants.map(({ name }) => name) ?? [],
      timeOfDayMs: () => Date.now(),
    });
    this.cluster = new GatewayCluster({
      ...parts,
      incarnation,
      store: adapter.store,
      compareByOwner: createCompareByOwner(adapter.decode),
      quotas: this.quotas,
      rollouts: this.rollouts.rollouts,
      crashes: {
        tell: () => this.crashes.requests.tell(),
        hear: (told) => this.crashes.hear(told),
      },
      statements: this.statements,
      onRecords: (records, source) => this.takeRecords(records, source),
    });
    this.links = new SlotAgentLinks(
      incarnation,
      this.directory,
      () => this.dispatcher,
      this.cluster.records,
      this.cluster.exchange,
      isEngine,
      (service) => this.configuration.coldStartHello(service),
      (backend, isConnected, reason) =>
        parts.log.write(isConnected ? 'agent-connected' : 'agent-lost', 'state', {
          backend,
          reason,
        }),
      clock,
      {
        ...DEFAULT_SLOT_AGENT_LINK_OPTIONS,
        port: settings.listen.slotAgentPort,
        peersAddress: settings.listen.peers,
        zone: settings.process.zone,
      },
    );
    this.plannedStop = new PlannedStop(clock, limits.stopGraceS * MS_PER_S, {
      stopListening: () => this.listener.stopListening(),
      countActive: () => this.requests.countActive,
      end: () => this.end(),
    });
    this.requests = new GatewayRequests({
      ...parts,
      limits,
      configuration: this.configuration,
      quotas: this.quotas,
      directory: this.directory,
      dispatcher: this.dispatcher,
      sender: this.sender,
      crashes: this.crashes.requests,
      cluster: this.cluster,
      isRefusing: () => this.plannedStop.isRefusing,
      onStatement: (heard) => this.statements.hear(heard),
      onTryOver: ({ backend, route, isBad }) =>
        this.rollouts.rollouts.noteEnded(backend, route.name, isBad),
      onEnd: () => this.plannedStop.noteRequestEnded(),
    });
  }

  private get isReady(): boolean {
    return this.configuration.table !== undefined && !this.plannedStop.isRequested;
  }

  /** Starts the listeners and follows the store. */
  start(): void {
    const { settings, log, metrics } = this.parts;
    const callers = splitAddress(settings.listen.callers);
    this.listener.server.listen(callers);
    this.readiness.listen(settings.listen.readiness);
    this.cluster.start();
    if (settings.listen.metricsPort > 0) {
      metrics.serve(settings.process.address, settings.listen.metricsPort);
    }
    this.parts.clock.setTimeout(() => void metrics.load(() => this.snapshot()), METRICS_LOAD_MS);
    this.scheduleTick();
    log.write('started', 'state', { ...settings.listen });
  }

  /** Stops taking requests, ends those that run, then calls back. */
  stop(onStopped: () => void): void {
    if (this.plannedStop.isRequested) {
      return;
    }
    this.onStopped = onStopped;
    this.listener.announceClose();
    this.parts.log.write('stopping', 'state', { active: this.requests.countActive });
    this.plannedStop.request();
  }

  private end(): void {
    this.hasEnded = true;
    this.readiness.close();
    this.parts.metrics.close();
    this.sender.close();
    this.cluster.stop();
    this.crashes.stop();
    this.quotas.stop();
    this.paths.stop();
    this.links.stop();
    const connections = Object.fromEntries(this.sender.connectionsOpened);
    this.parts.log.write('stopped', 'state', { active: this.requests.countActive, connections });
    this.parts.log.flush();
    this.onStopped?.();
  }

  private scheduleTick(): void {
    const dueAtMs = this.parts.clock.now() + PEER_TICK_MS;
    this.parts.clock.setTimeout(() => {
      this.loopDelayMs = Math.max(this.loopDelayMs, this.parts.clock.now() - dueAtMs);
      if (!this.hasEnded) {
        this.tick();
        this.scheduleTick();
      }
    }, PEER_TICK_MS);
  }

  private tick(): void {
    this.ticks += 1;
    this.paths.tick();
    this.dispatcher.tick(this.parts.clock.now());
    this.links.tellAlive();
    this.cluster.tick();
    this.quotas.tick();
    this.statements.tick();
    this.evacuations.tick();
    this.rollouts.rollouts.tick();
    if (this.ticks % AGENT_REACH_TICKS === 0) {
      this.links.tellReach();
    }
    if (this.ticks % UPKEEP_TICKS === 0) {
      this.crashes.requests.forgetOld();
      this.statements.forgetOld();
      const dropped = this.parts.log.reportDropped();
      this.parts.metrics.record(({ linesDropped }) => linesDropped.inc(dropped));
    }
  }

  /** Takes in records that are news. */
  private takeRecords(news: readonly RecordNews[], source: RecordsSource): void {
    if (news.length === 0) {
      return;
    }
    const { adapter } = this.parts;
    const decoded = news
      .map((record) => ({ record, decoded: adapter.decode(record) }))
      .filter(({ record, decoded: { kind } }) => record.isUnchanged !== true || isOwnRecord(kind));
    for (const each of inOrderOfEffect(decoded)) {
      this.takeRecord(each.record, each.decoded, source);
    }
    if (this.configuration.table !== undefined) {
      this.directory.noteListed();
    }
    this.paths.followBackends();
  }

  private takeRecord(record: RecordNews, decoded: DecodedRecord, source: RecordsSource): void {
    const { log } = this.parts;
    if (decoded.kind === 'configuration') {
      this.install(decoded.configuration, record, source);
    } else if (decoded.kind === 'backend') {
      this.backends.take(decoded, record);
    } else if (decoded.kind === 'evacuation') {
      this.evacuations.take(decoded.change);
    } else if (decoded.kind === 'rollout-order') {
      this.rollouts.takeOrder(decoded.order);
    } else if (decoded.kind === 'rollout-removed') {
      this.rollouts.takeRemoval(decoded.service, decoded.position);
    } else if (decoded.kind === 'rollout-status-removed') {
      this.rollouts.takeStatusRemoval(decoded.service, decoded.position);
    } else if (decoded.kind === 'rollout-status') {
      this.rollouts.takeStatus(decoded.status);
    } else if (decoded.kind === 'quota-members') {
      this.quotas.takeRecord(decoded.record);
    } else if (decoded.kind === 'crash-record') {
      this.crashes.takeRecord(decoded.record);
    } else if (decoded.kind === 'invalid') {
      const { problem, isConfiguration } = decoded;
      const event = isConfiguration ? 'configuration-refused' : 'record-refused';
      const { epoch, revision } = record;
      log.write(event, 'state', { problem, epoch, revision });
    }
  }

  private noteEnded(backendId: string, evidence: EndingEvidence): void {
    this.crashes.requests.noteEnded(backendId, evidence);
    this.requests.noteBackendEnded(backendId, evidence);
  }

  /** A back end said something of itself that changes what may be sent there. */
  private followCondition(backendId: string): void {
    const known = this.directory.find(backendId);
    if (known !== undefined) {
      this.dispatcher.followCondition(known, this.parts.clock.now());
    }
  }

  private noteReach(service: string, hasNear: boolean): void {
    const { region } = this.directory;
    this.parts.log.write('region-reach', 'state', { service, region, hasNear });
  }

  private noteAvailability({ id, address }: Backend, availability: EngineAvailability): void {
    this.parts.log.write('backend-availability', 'state', { backend: id, availability });
    if (availability === 'closed') {
      this.sender.endResting(address);
    }
  }

  private install(
    configuration: RoutingConfiguration,
    { epoch, revision }: StorePosition,
    source: RecordsSource,
  ): void {
    const problem = findUnknownHome(configuration, this.places);
    if (problem !== undefined && this.configuration.version !== undefined) {
      this.refuse(problem, { epoch, revision });
      return;
    }
    if (!this.configuration.install(configuration)) {
      return;
    }
    this.requests.followConfiguration();
    this.listener.applyLimits(configuration.limits);
    const { version } = configuration;
    for (const { name } of configuration.services) {
      // Which services are engines is known only from now on.
      this.directory.assign(name);
    }
    this.directory.reviewReplaced();
    // Agents are told anew where waiting requests may be served.
    this.dispatcher.tick(this.parts.clock.now());
    this.requests.withdrawUnsent();
    this.parts.metrics.record(({ configurationVersion }) => configurationVersion.set(version));
    this.parts.log.write('configuration-installed', 'state', {
      version: configuration.version,
      epoch,
      revision,
      routes: configuration.routes.length,
      source,
      storeAgeMs: this.cluster.storeAgeMs,
      problem: problem?.message,
    });
  }

  private refuse(
    { message, key, found, allowed }: InvalidHomesError,
    { epoch, revision }: StorePosition,
  ): void {
    const fields = { problem: message, key, found, allowed, epoch, revision };
    this.parts.log.write('configuration-refused', 'state', fields);
  }

  /** What the metrics show of the moment. */
  private snapshot(): GatewaySnapshot {
    const nowMs = this.parts.clock.now();
    const { loopDelayMs } = this;
    this.loopDelayMs = 0;
    return {
      storeAgeMs: this.cluster.storeAgeMs,
      storeEpoch: this.cluster.records.epoch,
      recordsKept: this.cluster.records.countKept(),
      configurationAgeMs: this.configuration.ageMs,
      backends: countBackends(this.directory.list(), nowMs),
      conditions: listConditions(this.directory.list(), nowMs),
      evacuatedZones: this.evacuations.zones.count,
      repeatsLeft: this.requests.repeatsLeft(nowMs),
      quotaUse: this.quotas.use,
      quotaLevels: this.quotas.levels,
      waiting: this.dispatcher.waitingByService(),
      loopDelayMs,
      suspectPaths: this.paths.countSuspect(),
      crashingRequests: this.crashes.requests.count(),
    };
  }
}

/** Whether gateways write such a record themselves: the position that a write is to follow must be of the store's epoch. */
function isOwnRecord(kind: DecodedRecord['kind']): boolean {
  return OWN_RECORD_KINDS.has(kind);
}
