/** What a gateway and its peers tell each other: that they live, charges to quotas, how far their replicas reach. */
import { DEFAULT_PEER_MESH_OPTIONS, PeerMesh } from '../../cluster/peer-mesh.js';
import type { SendToPeer } from '../../cluster/peer-mesh.js';
import type { PeerBeat, PeerHello, PeerMessage } from '../../cluster/peer-messages.js';
import type { PeerNetwork } from '../../cluster/peer-network.js';
import type { RecordExchange } from '../../cluster/record-exchange.js';
import type { StoreReaders } from '../../cluster/store-readers.js';
import { isFurther, NO_REACH } from '../../cluster/replicated-records.js';
import type { ReplicaReach, ReplicatedRecords } from '../../cluster/replicated-records.js';
import type { Clock } from '../../clock.js';
import type { RandomSource } from '../../random.js';
import type { Rollouts } from '../../rollout/rollouts.js';
import type { GatewayView } from '../dispatch/cold-share.js';
import type { GatewayQuotas } from '../gateway-quotas.js';
import type { GatewayStatements } from '../gateway-statements.js';
import type { ToldCondition } from '../statements/backend-condition.js';
import type { RequestCrashes } from '../crashes/crash-tally.js';
import { beatTicks, IDLE_BEAT_TICKS, longestBeatMs } from './beat-times.js';

/** What gateways tell each other of requests that crash back ends. */
export interface PeerCrashTallies {
  /** What a gateway that connects is told. */
  tell(): readonly RequestCrashes[];
  /** Takes in what a peer tells; returns what that lacks. */
  hear(told: readonly RequestCrashes[]): readonly RequestCrashes[];
}

/** What gateways tell each other of what back ends say of themselves. */
export type PeerStatements = Pick<
  GatewayStatements,
  'tell' | 'hearPeer' | 'answer' | 'receiveAnswer' | 'takeBack'
>;

/** What the peers of a gateway are made from. */
export interface GatewayPeersParts {
  readonly name: string;
  /** Differs after each start of the process. */
  readonly incarnation: string;
  readonly zone: string;
  /** Region that it stands in; undefined where the deployment names none. */
  readonly region: string | undefined;
  /** Address that peers reach this gateway at, IP:PORT; empty for none. */
  readonly address: string;
  readonly seeds: readonly string[];
  readonly records: ReplicatedRecords;
  readonly exchange: RecordExchange;
  readonly quotas: GatewayQuotas;
  readonly rollouts: Rollouts;
  readonly readers: StoreReaders;
  readonly crashes: PeerCrashTallies;
  readonly statements: PeerStatements;
  /** Whether this gateway reads the store and is answered. */
  isReading(): boolean;
  /** How long ago the store's records were as this gateway knows them, in milliseconds. */
  knowledgeAgeMs(): number | undefined;
  /** A peer that reaches so far knows the records as they were `ageMs` ago. */
  onKnowledge(reach: ReplicaReach, ageMs: number): void;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Default: TCP. */
  readonly network?: PeerNetwork | undefined;
  /** A peer was heard for the first time, or is gone. */
  onPeer(peer: string, isPresent: boolean): void;
}

/** Silence of a peer after which the connection to it is opened anew: a time, and periods of its beats. */
const REOPEN_SILENCE_MS = 2_500;
const REOPEN_SILENCE_BEATS = 4;

/** A gateway's side of the mesh. */
export class GatewayPeers {
  private readonly mesh: PeerMesh;
  private ticks = 0;
  private lastBeatTick = 0;
  private beatReach = NO_REACH;
  private toldReach = NO_REACH;
  private toldReading = false;
  private readonly startedAtMs: number;

  constructor(private readonly parts: GatewayPeersParts) {
    const { name, incarnation, zone, address, seeds, exchange, quotas, readers } = parts;
    this.startedAtMs = parts.clock.now();
    this.mesh = new PeerMesh(
      { kind: 'hello', role: 'gateway', name, incarnation, address, zone },
      seeds,
      {
        onMessage: (hello, message, reply) => this.receive(hello, message, reply),
        onQuestion: (message, reply) => {
          if (message.kind === 'fetch') {
            reply(exchange.answer(message));
          } else if (message.kind === 'crashes') {
            this.hearCrashes(message.requests, reply);
          } else if (message.kind === 'quota-answer') {
            quotas.receiveAnswer(message);
          } else if (message.kind === 'send-right-answer') {
            parts.statements.receiveAnswer(message);
          }
        },
        onOpened: (send) => this.greet(send),
        onPeer: (peer, isPresent) => {
          if (!isPresent) {
            readers.forget(peer);
          }
          parts.onPeer(peer, isPresent);
        },
      },
      parts.clock,
      parts.random,
      DEFAULT_PEER_MESH_OPTIONS,
      parts.network,
    );
  }

  /** Gateways known, this one included. */
  get size(): number {
    return this.mesh.size;
  }

  /** What this gateway knows of the others, for parts that are dealt out without a word. */
  get view(): GatewayView {
    const { address, seeds } = this.parts;
    const isAlone = seeds.every((seed) => seed === address);
    return {
      self: address,
      others: this.mesh.addressesEverKnown,
      hasHeardPeers: this.mesh.hasHeardPeers || isAlone,
      startedAtMs: this.startedAtMs,
    };
  }

  /** Longest time between two beats of a gateway that is well, in milliseconds. */
  get beatMs(): number {
    return longestBeatMs(this.mesh.size);
  }

  /** Takes connections of peers at `host` and `port`. */
  listen(host: string, port: number): void {
    this.mesh.listen(host, port);
  }

  /** Connects to the seeds. */
  start(): void {
    this.mesh.start();
  }

  /** Says that this process leaves, and ends every connection. */
  stop(): void {
    this.mesh.broadcast({ kind: 'leaving' });
    this.mesh.stop();
  }

  /** Sends what is due; to be called each tick. */
  tick(): void {
    this.ticks += 1;
    this.mesh.reopenSilent(Math.max(REOPEN_SILENCE_MS, this.beatMs * REOPEN_SILENCE_BEATS));
    if (this.ticks % this.beatTicks === 0 || this.hasReadingChanged) {
      this.beat();
    } else {
      this.tellReach();
    }
  }

  /** Says `message` to the gateway at `address`; false if no connection to it stands. */
  sendTo(address: string, message: PeerMessage): boolean {
    return this.mesh.sendTo(address, message);
  }

  /** Connects to gateways that were not known. */
  learnAddresses(addresses: readonly string[]): void {
    this.mesh.learnAddresses(addresses);
  }

  /** Tells every peer at once: until it knows, it sends a request on that crashes back ends. */
  tellCrashes(requests: readonly RequestCrashes[]): void {
    this.mesh.broadcast({ kind: 'crashes', requests });
  }

  /** Tells every peer what back ends said of themselves. */
  tellConditions(conditions: readonly ToldCondition[]): void {
    this.mesh.broadcast({ kind: 'conditions', conditions });
  }

  private hearCrashes(told: readonly RequestCrashes[], reply: SendToPeer): void {
    const lacking = this.parts.crashes.hear(told);
    if (lacking.length > 0) {
      reply({ kind: 'crashes', requests: lacking });
    }
  }

  /** Ticks from one beat with news to the next. */
  private get beatTicks(): number {
    return beatTicks(this.mesh.size);
  }

  /** A reader of the store tells what it learned before its next beat, since others wait for it. */
  private tellReach(): void {
    const { reach } = this.parts.records;
    if (isFurther(reach, this.toldReach) && this.parts.isReading()) {
      this.toldReach = reach;
      this.mesh.broadcast({ kind: 'reach', reach });
    }
  }

  /** Others read the store in the place of one that no longer does, so they are told at once. */
  private get hasReadingChanged(): boolean {
    return this.parts.isReading() !== this.toldReading;
  }

  private beat(): void {
    const { records } = this.parts;
    const { reach } = records;
    const hasRollouts = this.parts.rollouts.tell() !== undefined;
    const hasNews = isFurther(reach, this.beatReach) || hasRollouts || this.hasReadingChanged;
    if (hasNews || this.ticks - this.lastBeatTick >= IDLE_BEAT_TICKS) {
      this.lastBeatTick = this.ticks;
      this.beatReach = reach;
      this.toldReach = reach;
      this.toldReading = this.parts.isReading();
      this.mesh.broadcast(this.beatNow());
    }
  }

  private greet(send: SendToPeer): void {
    send(this.beatNow());
    const requests = this.parts.crashes.tell();
    if (requests.length > 0) {
      send({ kind: 'crashes', requests });
    }
    const conditions = this.parts.statements.tell();
    if (conditions.length > 0) {
      send({ kind: 'conditions', conditions });
    }
  }

  private beatNow(): PeerBeat {
    const { records, quotas } = this.parts;
    const rollouts = this.parts.rollouts.tell();
    return {
      kind: 'beat',
      reach: records.reach,
      knowledgeAgeMs: this.parts.knowledgeAgeMs(),
      ageMs: quotas.ageMs,
      quotaPosition: quotas.position,
      isReading: this.parts.isReading(),
      ...(this.parts.region === undefined ? {} : { region: this.parts.region }),
      ...(rollouts === undefined ? {} : { rollouts }),
    };
  }

  private receive(hello: PeerHello, message: PeerMessage, reply: SendToPeer): void {
    const { quotas, exchange, readers, statements, clock } = this.parts;
    if (message.kind === 'records') {
      exchange.receive(message);
    } else if (message.kind === 'crashes') {
      this.hearCrashes(message.requests, reply);
    } else if (message.kind === 'conditions') {
      statements.hearPeer(message.conditions);
    } else if (message.kind === 'send-right-ask') {
      statements.answer(hello, message, reply);
    } else if (message.kind === 'send-right-return') {
      statements.takeBack(hello, message);
    } else if (message.kind === 'beat') {
      const peer = hello.incarnation;
      quotas.hearBeat(hello, message);
      readers.hear(peer, message.isReading, clock.now(), message.region);
      this.parts.rollouts.hear(peer, message.rollouts ?? {});
      exchange.hearReach(peer, message.reach, reply);
      if (message.knowledgeAgeMs !== undefined) {
        this.parts.onKnowledge(message.reach, message.knowledgeAgeMs);
      }
    } else if (message.kind === 'quota-ask') {
      reply(quotas.answer(hello, message));
    } else if (message.kind === 'quota-return') {
      quotas.takeBack(hello, message);
    } else if (message.kind === 'reach') {
      exchange.hearReach(hello.incarnation, message.reach, reply);
    }
  }
}
