/**
 * What a gateway knows of its cluster and how it learns it: the replica of the store's records, the
 * follower of the store, the gateways that read it, and the peers.
 */
import { splitAddress } from '../address.js';
import { KnowledgeAge } from '../cluster/knowledge-age.js';
import { RecordExchange } from '../cluster/record-exchange.js';
import { ReplicatedRecords } from '../cluster/replicated-records.js';
import type { CompareByOwner, RecordNews, ReplicaReach } from '../cluster/replicated-records.js';
import { isLater } from '../cluster/store-position.js';
import { StoreEpochs } from '../cluster/store-epochs.js';
import type { StorePosition } from '../cluster/store-position.js';
import { StoreFollower } from '../cluster/store-follower.js';
import type { PeerNetwork } from '../cluster/peer-network.js';
import type { ClusterStore, RecordsSource, StoreRead } from '../cluster/cluster-store.js';
import { DEFAULT_STORE_READERS_OPTIONS, StoreReaders } from '../cluster/store-readers.js';
import type { Clock } from '../clock.js';
import type { RandomSource } from '../random.js';
import type { Rollouts } from '../rollout/rollouts.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { PeerMessage } from '../cluster/peer-messages.js';
import type { GatewayQuotas } from './gateway-quotas.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { GatewayView } from './dispatch/cold-share.js';
import type { ToldCondition } from './statements/backend-condition.js';
import type { RequestCrashes } from './crashes/crash-tally.js';
import { GatewayPeers } from './links/gateway-peers.js';
import type { PeerCrashTallies, PeerStatements } from './links/gateway-peers.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/** Time behind other gateways after which one reads the store itself, whoever else does, in milliseconds. */
const BEHIND_LIMIT_MS = 1_000;

/**
 * Age from which on what a gateway knows of the store counts as old, in milliseconds: then it reads the store itself,
 * and claims nothing of the newest configuration. In calm the word of some reader is much younger.
 */
const OLD_KNOWLEDGE_MS = 2_500;

/** What a gateway's part in the cluster is made from. */
export interface GatewayClusterParts {
  readonly settings: GatewaySettings;
  /** Differs after each start of the process. */
  readonly incarnation: string;
  readonly store: ClusterStore;
  readonly quotas: GatewayQuotas;
  readonly rollouts: Rollouts;
  readonly crashes: PeerCrashTallies;
  readonly statements: PeerStatements;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Connections among gateways. Default: TCP. */
  readonly network?: PeerNetwork;
  /** Compares records by their owners' counts; see `CompareByOwner`. */
  readonly compareByOwner: CompareByOwner;
  /** Records that were not known, from the store or from peers. */
  onRecords(records: readonly RecordNews[], source: RecordsSource): void;
}

/** A gateway's part in the cluster. */
export class GatewayCluster {
  readonly records: ReplicatedRecords;
  readonly exchange: RecordExchange;
  private readonly peers: GatewayPeers;
  private readonly readers: StoreReaders;
  private readonly follower: StoreFollower;
  private readonly knowledge = new KnowledgeAge();
  private isStoreReader = true;
  private wasKnowledgeOld = true;
  private readonly epochs: StoreEpochs;

  constructor(private readonly parts: GatewayClusterParts) {
    const { incarnation, clock, compareByOwner } = parts;
    this.records = new ReplicatedRecords(compareByOwner);
    this.epochs = new StoreEpochs(this.records, clock);
    this.readers = new StoreReaders(incarnation, DEFAULT_STORE_READERS_OPTIONS, this.region);
    this.exchange = new RecordExchange(
      this.records,
      {
        isStoreReachable: () => this.follower.isFollowing,
        onNews: (records) => this.learn(records, 'peer'),
      },
      clock,
    );
    this.peers = this.createPeers();
    this.follower = this.createFollower();
  }

  private get region(): string | undefined {
    const { process, places } = this.parts.settings;
    return places.zones.get(process.zone);
  }

  /** Gateways that are known, this one included. */
  get size(): number {
    return this.peers.size;
  }

  /** What this gateway knows of the others. */
  get view(): GatewayView {
    return this.peers.view;
  }

  /** Longest time between two beats of a peer that is well, in milliseconds. */
  get beatMs(): number {
    return this.peers.beatMs;
  }

  /**
   * How long ago the store's records were as this gateway knows them, by an answer of the store or by the word of
   * another gateway, in milliseconds; undefined before the first.
   */
  get storeAgeMs(): number | undefined {
    return this.knowledge.ageMs(this.parts.clock.now());
  }

  /** Whether there may be changes that this gateway should know by now, and does not. */
  get isKnowledgeOld(): boolean {
    return (this.storeAgeMs ?? Infinity) > OLD_KNOWLEDGE_MS;
  }

  /** Whether this gateway reads the store itself; it learns from others otherwise. */
  get isReadingStore(): boolean {
    return this.isStoreReader;
  }

  /** Position of the store through which every value is known; `NO_POSITION` before the first listing. */
  get position(): StorePosition {
    return this.records.currentTo;
  }

  /** Takes connections of peers, connects to the seeds and follows the store. */
  start(): void {
    const { peers } = this.parts.settings.listen;
    if (peers !== '') {
      const { host, port } = splitAddress(peers);
      this.peers.listen(host, port);
    }
    this.peers.start();
    void this.follower.run();
  }

  /** Sends to peers what is due; to be called each tick. */
  tick(): void {
    this.peers.tick();
    this.noteKnowledge();
  }

  /** Says `message` to the gateway at `address`; false if no connection to it stands. */
  sendTo(address: string, message: PeerMessage): boolean {
    return this.peers.sendTo(address, message);
  }

  /** Connects to gateways that were not known. */
  learnPeers(addresses: readonly string[]): void {
    this.peers.learnAddresses(addresses);
  }

  /** Tells peers at once what was learned of requests that crash back ends. */
  tellCrashes(requests: readonly RequestCrashes[]): void {
    this.peers.tellCrashes(requests);
  }

  /** Tells peers what back ends said of themselves. */
  tellConditions(conditions: readonly ToldCondition[]): void {
    this.peers.tellConditions(conditions);
  }

  /** Leaves the cluster. */
  stop(): void {
    this.follower.stop();
    this.peers.stop();
  }

  private createPeers(): GatewayPeers {
    const { settings, incarnation, quotas, rollouts, clock, random, log } = this.parts;
    const { crashes, statements } = this.parts;
    return new GatewayPeers({
      name: settings.process.name,
      incarnation,
      zone: settings.process.zone,
      region: this.region,
      address: settings.listen.peers,
      seeds: settings.cluster.seeds,
      records: this.records,
      exchange: this.exchange,
      quotas,
      rollouts,
      readers: this.readers,
      crashes,
      statements,
      isReading: () => this.follower.isFollowing,
      knowledgeAgeMs: () => this.storeAgeMs,
      onKnowledge: (reach, ageMs) => this.hearKnowledge(reach, ageMs),
      clock,
      random,
      network: this.parts.network,
      onPeer: (peer, isPresent) =>
        log.write(isPresent ? 'peer-heard' : 'peer-gone', 'state', { peer }),
    });
  }

  private createFollower(): StoreFollower {
    const { store, clock, random, metrics } = this.parts;
    return new StoreFollower(
      store,
      {
        onListing: (read) => {
          this.noteRead(read, 'listing');
          this.learn(this.records.applyListing(read.records, read), 'listing');
        },
        onListingAfterOutage: (read) => {
          this.noteRead(read, 'listing-after-outage');
          this.learn(this.records.addListing(read.records, read), 'listing-after-outage');
        },
        onChanges: (read, since) => {
          this.noteRead(read, 'watch');
          this.learn(this.records.applyChanges(read.records, since, read), 'watch');
        },
        onConfirmed: (atMs) => this.knowledge.confirm(atMs),
        onChangesMissing: (seenTo, { epoch, revision }) =>
          this.parts.log.write('store-changes-missing', 'state', {
            epoch,
            seenTo: seenTo.revision,
            revision,
          }),
        onOtherEpoch: (call, asked, { epoch, revision }) =>
          this.parts.log.write('store-answer-dropped', 'state', { call, asked, epoch, revision }),
        onReachable: (isReachable, reason, heldMs) => this.noteStore(isReachable, reason, heldMs),
        countFollowers: () => Math.min(this.size, this.readers.sharing),
        mustFollow: () => this.mustReadStore(),
        completeTo: () => this.records.completeTo,
        knownEpoch: () => this.epochs.newest,
        onCall: (call, result) =>
          metrics.record(({ storeCalls }) => storeCalls.inc({ call, result })),
      },
      clock,
      random,
    );
  }

  /** Another gateway, which reaches so far, knows the store's records as they were `ageMs` ago. */
  private hearKnowledge(reach: ReplicaReach, ageMs: number): void {
    if (!this.records.isBehind(reach)) {
      this.knowledge.confirm(this.parts.clock.now() - ageMs);
    }
  }

  private mustReadStore(): boolean {
    // Those that are heard to read the store may not hear this gateway's questions.
    const isBehind = this.exchange.behindMs > BEHIND_LIMIT_MS;
    const mustCatchUp = isBehind || this.isKnowledgeOld;
    const mustRead = this.readers.mustRead(this.beatMs, this.parts.clock.now()) || mustCatchUp;
    if (mustRead !== this.isStoreReader) {
      this.isStoreReader = mustRead;
      this.parts.log.write(mustRead ? 'store-reader-on' : 'store-reader-off', 'state', {
        gateways: this.size,
        ...this.records.completeTo,
      });
    }
    return mustRead;
  }

  private noteKnowledge(): void {
    const isOld = this.isKnowledgeOld;
    if (isOld === this.wasKnowledgeOld) {
      return;
    }
    this.wasKnowledgeOld = isOld;
    this.parts.log.write(isOld ? 'knowledge-old' : 'knowledge-confirmed', 'state', {
      storeAgeMs: this.storeAgeMs,
      ...this.records.reach,
      behindMs: this.exchange.behindMs,
      isReading: this.follower.isFollowing,
    });
  }

  private learn(records: readonly RecordNews[], source: RecordsSource): void {
    const { log, onRecords } = this.parts;
    const change = this.epochs.look();
    if (change !== undefined) {
      log.write(change.event, 'state', { source, ...change.fields });
    }
    onRecords(records, source);
  }

  /** Tells of an answer that is older than what is known, and of records that are: the known ones stay. */
  private noteRead(read: StoreRead, source: RecordsSource): void {
    const { log } = this.parts;
    const { epoch, revision } = read;
    const { completeTo, currentTo } = this.records.reach;
    if (isLater(currentTo, read)) {
      log.write('store-read-older', 'state', { source, epoch, revision, completeTo, currentTo });
    }
    const passedOver = this.records.findLaterThan(read.records);
    const [first] = passedOver;
    if (first !== undefined) {
      const { key, epoch: knownEpoch, revision: knownRevision } = first;
      const known = { epoch: knownEpoch, revision: knownRevision };
      const fields = { source, epoch, revision, key, known, records: passedOver.length };
      log.write('records-passed-over', 'state', fields);
    }
  }

  private noteStore(isReachable: boolean, reason: string, heldMs: number): void {
    const { metrics, log } = this.parts;
    metrics.record(({ storeReachable }) => storeReachable.set(isReachable ? 1 : 0));
    log.write(isReachable ? 'store-regained' : 'store-lost', 'state', { reason, heldMs });
  }
}
