/**
 * The agent beside one engine: its listener for gateways, and looks at the engine's own report.
 *
 * It also keeps a replica of the store's records and hands it to gateways that
 * start: when all of them were killed while the store is dark, nobody else knows.
 */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { DEFAULT_PEER_MESH_OPTIONS, PeerMesh } from '../cluster/peer-mesh.js';
import { RecordExchange } from '../cluster/record-exchange.js';
import { ReplicatedRecords } from '../cluster/replicated-records.js';
import type { RecordNews } from '../cluster/replicated-records.js';
import type { Clock, TimerHandle } from '../clock.js';
import type { DecodeRecord } from '../routing/decoded-record.js';
import type { ColdStartLimits } from '../routing/cold-start.js';
import { createCompareByOwner } from '../routing/owner-counts.js';
import type { Places } from '../routing/places.js';
import { distanceFrom } from '../routing/standpoint.js';
import { MessageChannel } from '../protocol/message-channel.js';
import type { RandomSource } from '../random.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { SlotAgentMetrics } from './slot-agent-metrics.js';
import type { ClosedCause, EngineAvailability, EngineReading } from './engine-watch.js';
import { EngineColdness } from './engine-coldness.js';
import { EngineKnowledge } from './engine-knowledge.js';
import type { EnginePlace } from './engine-knowledge.js';
import type { ForbiddenTake } from './slot-ledger.js';
import { DEFAULT_GATEWAY_SILENCE_OPTIONS } from './gateway-account.js';
import { SlotLedger } from './slot-ledger.js';
import type { AgentRefusal, AgentToGateway, GatewayToAgent, SlotMessage } from './slot-messages.js';

/** Looks at the engine's own report; ends soon, whatever the engine does. */
export type EngineReport = () => Promise<EngineReading>;

/** Times of an agent, in milliseconds. */
export interface SlotAgentOptions {
  /** Pause between two looks at the report while slots are unaccounted for, or the engine is gone. Default 60. */
  readonly reportMs: number;
  /**
   * Pause between two looks while requests are at work there or wait, in milliseconds: an engine that
   * falls silent breaks no connection. Default 300.
   */
  readonly watchMs: number;
  /** Pause between two messages that show that the agent lives. Default 300. */
  readonly beatMs: number;
  /**
   * Time in which changes of the count are gathered while slots are free, in milliseconds. Default 250: below
   * the pause between two beats, so that a busy agent tells each gateway little more often than an idle one.
   */
  readonly tellMs: number;
  /** Pause between two looks for silent gateways, while some hold slots or wait. Default 50. */
  readonly silenceCheckMs: number;
}

/** Who an agent is. */
export interface SlotAgentIdentity {
  readonly name: string;
  /** The engine that it stands beside. */
  readonly engine: EnginePlace;
  /** Addresses of gateways to begin with, IP:PORT. */
  readonly seeds: readonly string[];
}

/** What an agent is made from. */
export interface SlotAgentParts {
  readonly identity: SlotAgentIdentity;
  readonly places: Places;
  readonly limits: ColdStartLimits;
  /** Reads a record of the store. */
  readonly decode: DecodeRecord;
  readonly readReport: EngineReport;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: SlotAgentMetrics;
}

/** Where an agent listens. */
export interface SlotAgentListen {
  readonly host: string;
  /** Port for gateways. */
  readonly port: number;
  /** Port of the metrics; 0 for none. */
  readonly metricsPort: number;
}

/** Time from the start until the library of the metrics is loaded, in milliseconds. */
const METRICS_LOAD_MS = 5_000;

/**
 * Gateways that were killed start within a second; the replica must not come
 * much later. A few gateways are enough, since they tell the others.
 */
const REPLICA_MESH_OPTIONS = {
  ...DEFAULT_PEER_MESH_OPTIONS,
  retryMaxMs: 600,
  maxFailures: 100,
  maxConnections: 3,
};

/** Defaults of an agent. */
export const DEFAULT_SLOT_AGENT_OPTIONS: SlotAgentOptions = {
  reportMs: 60,
  watchMs: 300,
  beatMs: 300,
  tellMs: 250,
  silenceCheckMs: 50,
};

/** The agent beside one engine. */
export class SlotAgentRole {
  private readonly clock: Clock;
  private readonly server: Server;
  private readonly channels = new Map<number, MessageChannel<AgentToGateway, GatewayToAgent>>();
  private readonly ledger: SlotLedger;
  private readonly knowledge: EngineKnowledge;
  private readonly coldness: EngineColdness;
  private wasCold = false;
  private resumeTimer: TimerHandle | undefined;
  private readonly records: ReplicatedRecords;
  private readonly exchange: RecordExchange;
  private readonly mesh: PeerMesh;
  private nextConnection = 1;
  private isLooking = false;
  private lookTimer: TimerHandle | undefined;
  private lookDueAtMs = Infinity;
  private isChecking = false;
  private isStopped = false;

  constructor(
    private readonly parts: SlotAgentParts,
    private readonly options: SlotAgentOptions = DEFAULT_SLOT_AGENT_OPTIONS,
  ) {
    const { identity, clock, random, metrics } = parts;
    this.clock = clock;
    this.knowledge = new EngineKnowledge(identity.engine, parts.places);
    this.coldness = new EngineColdness(() => this.engineRecords(), parts.limits, clock.now());
    this.ledger = new SlotLedger(
      {
        send: (connection, message) => this.channels.get(connection)?.send(message),
        onGranted: () => metrics.record(({ grants }) => grants.inc()),
        onChangesToTell: () =>
          clock.setTimeout(() => this.ledger.tellChanges(clock.now()), this.options.tellMs),
        onReconciled: (slots) => this.noteReconciled(slots),
        onLookWanted: () => this.lookIn(0),
        onAvailability: (availability, cause) => this.noteAvailability(availability, cause),
        distanceTo: (zone) =>
          distanceFrom({ zone: identity.engine.zone, places: parts.places }, zone),
        restriction: (allowedRegions, homeOwner) =>
          this.knowledge.restriction(allowedRegions, homeOwner),
        homesToTell: () => this.knowledge.homesToTell,
        onForbiddenTake: (take) => this.noteForbiddenTake(take),
        startRules: (nowMs) => this.coldness.rules(nowMs),
        onStartsHeld: (resumeInMs) => this.resumeIn(resumeInMs),
      },
      DEFAULT_GATEWAY_SILENCE_OPTIONS,
      clock.now(),
    );
    this.records = new ReplicatedRecords(createCompareByOwner(parts.decode));
    this.server = createServer((socket) => this.accept(socket));
    this.exchange = new RecordExchange(
      this.records,
      { isStoreReachable: () => false, onNews: (records) => this.learn(records) },
      clock,
    );
    const { name, seeds } = identity;
    this.mesh = new PeerMesh(
      { kind: 'hello', role: 'replica', name, incarnation: name, address: '' },
      seeds,
      {
        onMessage: () => undefined,
        onQuestion: (message, reply) => {
          if (message.kind === 'fetch') {
            reply(this.exchange.answer(message));
          }
        },
        onOpened: (send) => send({ kind: 'reach', reach: this.records.reach }),
        onPeer: () => undefined,
      },
      clock,
      random,
      REPLICA_MESH_OPTIONS,
    );
  }

  /** Listens for gateways. */
  start({ host, port, metricsPort }: SlotAgentListen): void {
    const { metrics, log } = this.parts;
    this.server.listen(port, host);
    this.mesh.start();
    this.beat();
    if (metricsPort > 0) {
      metrics.serve(host, metricsPort);
      this.clock.setTimeout(() => void metrics.load(() => this.ledger.snapshot), METRICS_LOAD_MS);
    }
    log.write('started', 'state', { port, metricsPort });
  }

  /** Ends every connection. */
  stop(): void {
    this.isStopped = true;
    this.server.close();
    this.mesh.stop();
    this.parts.metrics.close();
    for (const channel of this.channels.values()) {
      channel.close();
    }
    this.parts.log.write('stopped', 'state');
    this.parts.log.flush();
  }

  /** Takes in records of the store that are news. */
  private learn(news: readonly RecordNews[]): void {
    const before = this.knowledge.homesToTell?.configuration;
    const { decode, identity, log } = this.parts;
    for (const record of news.filter(({ isUnchanged }) => isUnchanged !== true)) {
      const decoded = decode(record);
      this.knowledge.take(decoded, this.clock.now());
      if (decoded.kind === 'evacuation' && decoded.change.zone === identity.engine.zone) {
        const { zone: evacuatedZone, isOrdered, epoch, revision } = decoded.change;
        const { snapshot } = this.ledger;
        const order = { evacuatedZone, isOrdered, epoch, revision };
        log.write('zone-evacuation', 'state', { ...order, ...snapshot });
      }
    }
    if (this.knowledge.homesToTell?.configuration !== before) {
      this.ledger.followOrders(this.clock.now());
    }
    this.coldness.noteRecords(this.clock.now());
    this.reviewColdness();
    this.ledger.resume(this.clock.now());
  }

  private accept(socket: Socket): void {
    const connection = this.nextConnection;
    this.nextConnection += 1;
    const channel = new MessageChannel<AgentToGateway, GatewayToAgent>(socket, {
      onMessage: (message) => this.receive(connection, message),
      onClose: () => this.forget(connection),
    });
    this.channels.set(connection, channel);
  }

  private forget(connection: number): void {
    const gateway = this.ledger.describe(connection);
    if (gateway !== undefined) {
      this.parts.log.write('gateway-lost', 'state', gateway);
    }
    this.channels.delete(connection);
    this.ledger.disconnect(connection, this.clock.now());
    this.lookWhileNeeded();
  }

  private noteReconciled(slots: number): void {
    this.parts.metrics.record(({ slotsReconciled }) => slotsReconciled.inc(slots));
    this.parts.log.write('slots-reconciled', 'state', { freed: slots, ...this.ledger.snapshot });
  }

  private noteForbiddenTake(take: ForbiddenTake): void {
    const { reason } = take;
    this.parts.metrics.record(({ forbiddenTakes }) => forbiddenTakes.inc({ reason }));
    this.parts.log.write('slot-taken-forbidden', 'failure', { ...take });
  }

  private engineRecords() {
    const { knowledge } = this;
    const { zone } = this.parts.identity.engine;
    return {
      service: knowledge.service,
      backend: knowledge.backend,
      zoneReturnedAtMs: knowledge.evacuations.returnedAtMs(zone),
    };
  }

  /** Requests wait for starts that were too many: the ledger is asked again when there is room. */
  private resumeIn(delayMs: number): void {
    if (this.isStopped || this.resumeTimer !== undefined || !Number.isFinite(delayMs)) {
      return;
    }
    this.parts.metrics.record(({ grantsHeld }) => grantsHeld.inc());
    this.resumeTimer = this.clock.setTimeout(() => {
      this.resumeTimer = undefined;
      this.ledger.resume(this.clock.now());
    }, delayMs);
  }

  /** Says so when the engine is taken for cold, or no longer. */
  private reviewColdness(): void {
    const nowMs = this.clock.now();
    const coldness = this.coldness.coldness(nowMs);
    if ((coldness !== undefined) === this.wasCold) {
      return;
    }
    this.wasCold = coldness !== undefined;
    const event = this.wasCold ? 'cold-limit-entered' : 'cold-limit-left';
    this.parts.log.write(event, 'state', {
      reason: coldness?.reason,
      ageMs: coldness && nowMs - coldness.sinceMs,
      leftMs: coldness && coldness.untilMs - nowMs,
      epoch: this.coldness.position?.epoch,
      revision: this.coldness.position?.revision,
    });
  }

  private noteAvailability(availability: EngineAvailability, cause: ClosedCause | undefined): void {
    const isGone = cause === 'port-closed' || cause === 'silent';
    this.coldness.noteGone(isGone, this.clock.now());
    this.parts.metrics.record(({ engineChanges }) => engineChanges.inc({ availability }));
    this.parts.log.write('engine-availability', 'state', {
      availability,
      cause,
      ...this.ledger.snapshot,
    });
  }

  private receive(connection: number, message: GatewayToAgent): void {
    if (message.kind === 'records') {
      this.exchange.receive(message);
    } else if (message.kind === 'reach') {
      this.exchange.hearReach(`${connection}`, message.reach, (fetch) =>
        this.channels.get(connection)?.send(fetch),
      );
    } else {
      this.receiveOfSlots(connection, message);
    }
  }

  private receiveOfSlots(connection: number, message: SlotMessage): void {
    if (message.kind === 'hello') {
      this.mesh.learnAddresses([message.peersAddress]);
      this.coldness.noteService(message.coldStart);
    } else if (!this.ledger.knows(connection)) {
      this.refuse(connection, 'hello-missing');
      return;
    }
    if (message.kind === 'demand') {
      this.coldness.noteTold(message.coldMs, this.clock.now());
    }
    this.ledger.receive(connection, message, this.clock.now());
    if (message.kind === 'hello') {
      this.parts.log.write('gateway-connected', 'state', this.ledger.describe(connection));
    }
    this.checkWhileNeeded();
    this.lookWhileNeeded();
  }

  /** Ends a connection; a gateway that still lives learns why. */
  private refuse(connection: number, reason: AgentRefusal['reason']): void {
    const channel = this.channels.get(connection);
    const { log, metrics } = this.parts;
    log.write('gateway-refused', 'state', { reason, ...this.ledger.describe(connection) });
    metrics.record(({ gatewaysEnded }) => gatewaysEnded.inc({ reason }));
    channel?.send({ kind: 'refused', reason });
    channel?.flush();
    channel?.close();
  }

  private checkWhileNeeded(): void {
    if (this.isStopped || this.isChecking || !this.ledger.expectsGateways) {
      return;
    }
    this.isChecking = true;
    this.clock.setTimeout(() => {
      this.isChecking = false;
      for (const connection of this.ledger.findSilent(this.clock.now())) {
        this.refuse(connection, 'silent');
      }
      this.checkWhileNeeded();
    }, this.options.silenceCheckMs);
  }

  private beat(): void {
    if (this.isStopped) {
      return;
    }
    this.reviewColdness();
    this.ledger.beat(this.options.beatMs, this.clock.now());
    this.clock.setTimeout(() => this.beat(), this.options.beatMs);
  }

  /** Goes on looking at the engine, often while something is to be found out, now and then while it works. */
  private lookWhileNeeded(): void {
    if (this.ledger.needsReport(this.clock.now())) {
      this.lookIn(this.options.reportMs);
    } else if (this.ledger.expectsGateways) {
      this.lookIn(this.options.watchMs);
    }
  }

  /** Looks at the engine after `delayMs`, or sooner where that is planned. */
  private lookIn(delayMs: number): void {
    const dueAtMs = this.clock.now() + delayMs;
    if (this.isStopped || this.isLooking || this.lookDueAtMs <= dueAtMs) {
      return;
    }
    this.clock.clearTimeout(this.lookTimer);
    this.lookDueAtMs = dueAtMs;
    this.lookTimer = this.clock.setTimeout(() => void this.look(), delayMs);
  }

  private async look(): Promise<void> {
    this.isLooking = true;
    this.lookDueAtMs = Infinity;
    const reading = await this.parts.readReport();
    this.isLooking = false;
    if (reading.kind !== 'load') {
      this.parts.metrics.record(({ reportsFailed }) => reportsFailed.inc());
    }
    this.ledger.takeReading(reading, this.clock.now());
    this.checkWhileNeeded();
    this.lookWhileNeeded();
  }
}
