/**
 * Messages between a gateway and its peers: heartbeats, quota requests, replication positions,
 * crash and condition reports.
 */
import { DEFAULT_PEER_MESH_OPTIONS, PeerMesh } from '../../cluster/peer-mesh.js';
import type { SendToPeer } from '../../cluster/peer-mesh.js';
import type { PeerHeartbeat, PeerHello, PeerMessage } from '../../cluster/peer-messages.js';
import type { PeerNetwork } from '../../cluster/peer-network.js';
import type { RecordExchange } from '../../cluster/record-exchange.js';
import type { StoreReaderSelector } from '../../cluster/store-reader-selector.js';
import { isAheadOf, NO_PROGRESS } from '../../cluster/replicated-records.js';
import type { ReplicaProgress, ReplicatedRecords } from '../../cluster/replicated-records.js';
import type { OpenPeer } from '../../cluster/peer-mesh.js';
import type { Clock } from '../../clock.js';
import type { RandomSource } from '../../random.js';
import type { Rollouts } from '../../rollout/rollouts.js';
import type { PeerView } from '../dispatch/cold-start-share.js';
import type { GatewayQuotas } from '../gateway-quotas.js';
import type { GatewayConditions } from '../gateway-conditions.js';
import type { ConditionSnapshot } from '../statements/backend-condition.js';
import type {
  StreamOriginAnswer,
  StreamOriginQuery,
  StreamOriginReport,
} from '../../streams/stream-origin.js';
import type { FingerprintCrashes } from '../crashes/crash-tally.js';
import {
  heartbeatTicks,
  IDLE_HEARTBEAT_TICKS,
  maxHeartbeatIntervalMs,
} from './heartbeat-intervals.js';

/** Exchange of crash reports: how often requests have crashed backends. */
export interface CrashReportExchange {
  /** Returns the reports for a gateway that connects. */
  snapshot(): readonly FingerprintCrashes[];
  /** Merges a peer's reports; returns those that the peer lacks. */
  merge(reports: readonly FingerprintCrashes[]): readonly FingerprintCrashes[];
}

/**
 * Exchange of the conditions that backends report, and of the rights to send to those that state a
 * limit.
 */
export type ConditionExchange = Pick<
  GatewayConditions,
  'tell' | 'hearPeer' | 'answerPeer' | 'receiveAnswer' | 'takeBack'
>;

/** Exchange of the origins of streams. */
export interface StreamOriginExchange {
  /** Holds an origin for another gateway. */
  hold(origin: StreamOriginReport): void;
  /** Answers the query of another gateway. */
  answer(query: StreamOriginQuery): StreamOriginAnswer;
  /** Processes the answer to a query of this gateway. */
  receiveAnswer(answer: StreamOriginAnswer): void;
}

/** Configuration and dependencies of `GatewayPeers`. */
export interface GatewayPeersParts {
  readonly name: string;
  /** Unique to each start of the process. */
  readonly incarnation: string;
  readonly zone: string;
  /** Region of the zone; undefined if the deployment defines none. */
  readonly region: string | undefined;
  /** Peer address of this gateway, IP:PORT; empty for none. */
  readonly address: string;
  readonly seeds: readonly string[];
  readonly records: ReplicatedRecords;
  readonly exchange: RecordExchange;
  readonly quotas: GatewayQuotas;
  readonly rollouts: Rollouts;
  readonly readers: StoreReaderSelector;
  readonly crashes: CrashReportExchange;
  readonly statements: ConditionExchange;
  readonly streams: StreamOriginExchange;
  /** Whether this gateway reads the store and gets responses. */
  isReading(): boolean;
  /**
   * Returns the age of this gateway's replica of the store's records, in milliseconds; undefined if
   * it has none.
   */
  knowledgeAgeMs(): number | undefined;
  /**
   * Called when a peer reports its replication position `progress` and the age of its replica, in
   * milliseconds.
   */
  onReplicaAge(progress: ReplicaProgress, ageMs: number): void;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Default: TCP. */
  readonly network?: PeerNetwork | undefined;
  /** Called when a peer process sends its first message, and when it leaves or is replaced. */
  onPeerChange(peer: string, isPresent: boolean): void;
}

/**
 * Silence after which the connection to a peer is reopened: the greater of a time and a number of
 * heartbeat intervals.
 */
const REOPEN_SILENCE_MS = 2_500;
const REOPEN_SILENCE_HEARTBEATS = 4;
/** Heartbeat intervals without a message after which a peer no longer counts as heard. */
const HEARD_HEARTBEATS = 1.5;

/** A gateway's end of the peer mesh. */
export class GatewayPeers {
  private readonly mesh: PeerMesh;
  private ticks = 0;
  private lastHeartbeatTick = 0;
  private lastHeartbeatProgress = NO_PROGRESS;
  private lastSentProgress = NO_PROGRESS;
  private lastSentIsReading = false;
  private readonly startedAtMs: number;

  constructor(private readonly parts: GatewayPeersParts) {
    const { name, incarnation, zone, address, seeds, exchange, quotas, readers } = parts;
    this.startedAtMs = parts.clock.now();
    this.mesh = new PeerMesh(
      { kind: 'hello', role: 'gateway', name, incarnation, address, zone },
      seeds,
      {
        onMessage: (hello, message, reply) => this.handleMessage(hello, message, reply),
        onReply: (message, reply) => {
          if (message.kind === 'fetch') {
            reply(exchange.handleFetch(message));
          } else if (message.kind === 'crashes') {
            this.mergeCrashes(message.requests, reply);
          } else if (message.kind === 'quota-answer') {
            quotas.receiveAnswer(message);
          } else if (message.kind === 'send-right-answer') {
            parts.statements.receiveAnswer(message);
          } else if (message.kind === 'stream-answer') {
            parts.streams.receiveAnswer(message);
          }
        },
        onOpened: (send) => this.sendInitialState(send),
        onPeerChange: (peer, isPresent) => {
          if (!isPresent) {
            readers.removePeer(peer);
          }
          parts.onPeerChange(peer, isPresent);
        },
      },
      parts.clock,
      parts.random,
      DEFAULT_PEER_MESH_OPTIONS,
      parts.network,
    );
  }

  /** Number of known gateways, including this one. */
  get size(): number {
    return this.mesh.size;
  }

  /** This gateway's view of the fleet, from which shares are computed without coordination. */
  get view(): PeerView {
    const { address, seeds } = this.parts;
    const isAlone = seeds.every((seed) => seed === address);
    return {
      self: address,
      others: this.mesh.allKnownAddresses,
      hasReachedPeers: this.mesh.hasReachedPeers || isAlone,
      startedAtMs: this.startedAtMs,
    };
  }

  /** Longest time between two heartbeats of a healthy gateway, in milliseconds. */
  get maxHeartbeatIntervalMs(): number {
    return maxHeartbeatIntervalMs(this.mesh.size);
  }

  /** Accepts connections of peers at `host` and `port`. */
  listen(host: string, port: number): void {
    this.mesh.listen(host, port);
  }

  /** Connects to the seeds. */
  start(): void {
    this.mesh.start();
  }

  /** Broadcasts that this process is leaving, and closes every connection. */
  stop(): void {
    this.mesh.broadcast({ kind: 'leaving' });
    this.mesh.stop();
  }

  /**
   * Reopens silent connections, and sends a heartbeat or the replication position if due; to be
   * called each tick.
   */
  tick(): void {
    this.ticks += 1;
    this.mesh.reconnectSilentPeers(
      Math.max(REOPEN_SILENCE_MS, this.maxHeartbeatIntervalMs * REOPEN_SILENCE_HEARTBEATS),
    );
    if (this.ticks % this.heartbeatTicks === 0 || this.hasReadingChanged) {
      this.sendHeartbeatIfDue();
    } else {
      this.sendProgressIfAdvanced();
    }
  }

  /** Sends `message` to the gateway at `address`; false if it is not connected. */
  sendTo(address: string, message: PeerMessage): boolean {
    return this.mesh.sendTo(address, message);
  }

  /** Increases whenever `openPeers` changes. */
  get generation(): number {
    return this.mesh.generation;
  }

  /** The gateways to which a connection is open. */
  get openPeers(): readonly OpenPeer[] {
    return this.mesh.openPeers;
  }

  /** Whether the gateway at `address` sent its last heartbeat in time. */
  isHeard(address: string): boolean {
    return this.mesh.hasHeardFrom(address, this.maxHeartbeatIntervalMs * HEARD_HEARTBEATS);
  }

  /** Connects to gateways that were unknown so far. */
  learnAddresses(addresses: readonly string[]): void {
    this.mesh.addAddresses(addresses);
  }

  /**
   * Broadcasts crash reports at once: until a peer has them, it forwards requests that crash back
   * ends.
   */
  broadcastCrashes(requests: readonly FingerprintCrashes[]): void {
    this.mesh.broadcast({ kind: 'crashes', requests });
  }

  /** Broadcasts conditions that backends have reported. */
  broadcastConditions(conditions: readonly ConditionSnapshot[]): void {
    this.mesh.broadcast({ kind: 'conditions', conditions });
  }

  private mergeCrashes(reports: readonly FingerprintCrashes[], reply: SendToPeer): void {
    const missing = this.parts.crashes.merge(reports);
    if (missing.length > 0) {
      reply({ kind: 'crashes', requests: missing });
    }
  }

  /** Ticks between two heartbeats with new state. */
  private get heartbeatTicks(): number {
    return heartbeatTicks(this.mesh.size);
  }

  /**
   * Broadcasts a store reader's new replication position before its next heartbeat, since other
   * gateways wait for it.
   */
  private sendProgressIfAdvanced(): void {
    const { progress } = this.parts.records;
    if (isAheadOf(progress, this.lastSentProgress) && this.parts.isReading()) {
      this.lastSentProgress = progress;
      this.mesh.broadcast({ kind: 'reach', reach: progress });
    }
  }

  /**
   * Whether `isReading` changed since it was last sent; sent at once, since another gateway takes
   * over reading the store.
   */
  private get hasReadingChanged(): boolean {
    return this.parts.isReading() !== this.lastSentIsReading;
  }

  private sendHeartbeatIfDue(): void {
    const { records } = this.parts;
    const { progress } = records;
    const hasRollouts = this.parts.rollouts.peerReports() !== undefined;
    const hasNewState =
      isAheadOf(progress, this.lastHeartbeatProgress) || hasRollouts || this.hasReadingChanged;
    if (hasNewState || this.ticks - this.lastHeartbeatTick >= IDLE_HEARTBEAT_TICKS) {
      this.lastHeartbeatTick = this.ticks;
      this.lastHeartbeatProgress = progress;
      this.lastSentProgress = progress;
      this.lastSentIsReading = this.parts.isReading();
      this.mesh.broadcast(this.buildHeartbeat());
    }
  }

  private sendInitialState(send: SendToPeer): void {
    send(this.buildHeartbeat());
    const requests = this.parts.crashes.snapshot();
    if (requests.length > 0) {
      send({ kind: 'crashes', requests });
    }
    const conditions = this.parts.statements.tell();
    if (conditions.length > 0) {
      send({ kind: 'conditions', conditions });
    }
  }

  private buildHeartbeat(): PeerHeartbeat {
    const { records, quotas } = this.parts;
    const rollouts = this.parts.rollouts.peerReports();
    return {
      kind: 'beat',
      reach: records.progress,
      knowledgeAgeMs: this.parts.knowledgeAgeMs(),
      ageMs: quotas.ageMs,
      quotaPosition: quotas.position,
      isReading: this.parts.isReading(),
      ...(this.parts.region === undefined ? {} : { region: this.parts.region }),
      ...(rollouts === undefined ? {} : { rollouts }),
    };
  }

  private handleMessage(hello: PeerHello, message: PeerMessage, reply: SendToPeer): void {
    const { quotas, exchange, readers, statements, streams, clock } = this.parts;
    if (message.kind === 'records') {
      exchange.handleResponse(message);
    } else if (message.kind === 'crashes') {
      this.mergeCrashes(message.requests, reply);
    } else if (message.kind === 'conditions') {
      statements.hearPeer(message.conditions);
    } else if (message.kind === 'send-right-ask') {
      statements.answerPeer(hello, message, reply);
    } else if (message.kind === 'send-right-return') {
      statements.takeBack(hello, message);
    } else if (message.kind === 'beat') {
      const peer = hello.incarnation;
      quotas.receiveHeartbeat(hello, message);
      readers.receiveHeartbeat(peer, message.isReading, clock.now(), message.region);
      this.parts.rollouts.applyPeerReports(peer, message.rollouts ?? {});
      exchange.handleProgress(peer, message.reach, reply);
      if (message.knowledgeAgeMs !== undefined) {
        this.parts.onReplicaAge(message.reach, message.knowledgeAgeMs);
      }
    } else if (message.kind === 'quota-ask') {
      reply(quotas.answerPeer(hello, message));
    } else if (message.kind === 'quota-return') {
      quotas.takeBack(hello, message);
    } else if (message.kind === 'reach') {
      exchange.handleProgress(hello.incarnation, message.reach, reply);
    } else if (message.kind === 'stream-began') {
      streams.hold(message.origin);
    } else if (message.kind === 'stream-ask') {
      reply(streams.answer(message));
    }
  }
}
