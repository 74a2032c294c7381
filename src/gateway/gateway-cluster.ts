/**
 * A gateway's view of the cluster and its sources: the replica of the store's records, the store
 * follower, the selection of gateways that read the store, and the peers.
 */
import { splitAddress } from '../address.js';
import { ReplicaAge } from '../cluster/replica-age.js';
import { RecordExchange } from '../cluster/record-exchange.js';
import { ReplicatedRecords } from '../cluster/replicated-records.js';
import type {
  CompareOwnerVersions,
  AppliedRecord,
  ReplicaProgress,
} from '../cluster/replicated-records.js';
import { isLater } from '../cluster/store-position.js';
import { ReplicaEpochTracker } from '../cluster/replica-epoch-tracker.js';
import type { StorePosition } from '../cluster/store-position.js';
import { StoreFollower } from '../cluster/store-follower.js';
import type { OpenPeer } from '../cluster/peer-mesh.js';
import type { PeerNetwork } from '../cluster/peer-network.js';
import type { ClusterStore, RecordsSource, StoreRead } from '../cluster/cluster-store.js';
import {
  DEFAULT_STORE_READER_SELECTOR_OPTIONS,
  StoreReaderSelector,
} from '../cluster/store-reader-selector.js';
import type { Clock } from '../clock.js';
import type { RandomSource } from '../random.js';
import type { Rollouts } from '../rollout/rollouts.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { PeerMessage } from '../cluster/peer-messages.js';
import type { GatewayQuotas } from './gateway-quotas.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { PeerView } from './dispatch/cold-start-share.js';
import type { ConditionSnapshot } from './statements/backend-condition.js';
import type { FingerprintCrashes } from './crashes/crash-tally.js';
import { GatewayPeers } from './links/gateway-peers.js';
import type {
  CrashReportExchange,
  ConditionExchange,
  StreamOriginExchange,
} from './links/gateway-peers.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/**
 * Time for which the replica may lag behind a peer's before the gateway reads the store itself, in
 * milliseconds.
 */
const MAX_REPLICATION_LAG_MS = 1_000;

/**
 * Age above which the view of the store is stale, in milliseconds: the gateway then reads the store
 * itself and delays refusals for a missing route or key. In normal operation the last report of a
 * reader is much younger.
 */
const STALE_VIEW_MS = 2_500;

/** Dependencies of `GatewayCluster`. */
export interface GatewayClusterDependencies {
  readonly settings: GatewaySettings;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  readonly store: ClusterStore;
  readonly quotas: GatewayQuotas;
  readonly rollouts: Rollouts;
  readonly crashes: CrashReportExchange;
  readonly statements: ConditionExchange;
  readonly streams: StreamOriginExchange;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Transport between gateways. Default: TCP. */
  readonly network?: PeerNetwork;
  /** Orders records by the counters of their owners; see `CompareOwnerVersions`. */
  readonly compareByOwner: CompareOwnerVersions;
  /**
   * Called with records from the store or from peers that are new, changed, or the same write in a
   * later epoch.
   */
  onRecords(records: readonly AppliedRecord[], source: RecordsSource): void;
}

/** Membership of a gateway in the cluster. */
export class GatewayCluster {
  readonly records: ReplicatedRecords;
  readonly exchange: RecordExchange;
  private readonly peers: GatewayPeers;
  private readonly readers: StoreReaderSelector;
  private readonly follower: StoreFollower;
  private readonly viewAge = new ReplicaAge();
  private isStoreReader = true;
  private wasViewStale = true;
  private readonly epochs: ReplicaEpochTracker;

  constructor(private readonly dependencies: GatewayClusterDependencies) {
    const { incarnation, clock, compareByOwner } = dependencies;
    this.records = new ReplicatedRecords(compareByOwner);
    this.epochs = new ReplicaEpochTracker(this.records, clock);
    this.readers = new StoreReaderSelector(
      incarnation,
      DEFAULT_STORE_READER_SELECTOR_OPTIONS,
      this.region,
    );
    this.exchange = new RecordExchange(
      this.records,
      {
        isStoreReachable: () => this.follower.isFollowing,
        onApplied: (records) => this.deliverRecords(records, 'peer'),
      },
      clock,
    );
    this.peers = this.createPeers();
    this.follower = this.createFollower();
  }

  private get region(): string | undefined {
    const { process, places } = this.dependencies.settings;
    return places.zones.get(process.zone);
  }

  /** Number of known gateways, including this one. */
  get size(): number {
    return this.peers.size;
  }

  /** This gateway's view of the other gateways. */
  get view(): PeerView {
    return this.peers.view;
  }

  /** Longest interval between two heartbeats of a healthy peer, in milliseconds. */
  get heartbeatMs(): number {
    return this.peers.maxHeartbeatIntervalMs;
  }

  /**
   * Age of the view of the store, in milliseconds: time since a response of the store or a report
   * of another gateway confirmed it. Undefined before the first confirmation.
   */
  get storeAgeMs(): number | undefined {
    return this.viewAge.ageMs(this.dependencies.clock.now());
  }

  /** Whether the view of the store is stale, so that changes may be missing. */
  get isKnowledgeOld(): boolean {
    return (this.storeAgeMs ?? Infinity) > STALE_VIEW_MS;
  }

  /** Whether this gateway reads the store itself instead of receiving changes from peers. */
  get isReadingStore(): boolean {
    return this.isStoreReader;
  }

  /**
   * Store position up to which every value is known; `NO_POSITION` before the first records from
   * the store or a peer.
   */
  get position(): StorePosition {
    return this.records.currentTo;
  }

  /** Listens for peers, connects to the seeds and starts to follow the store. */
  start(): void {
    const { peers } = this.dependencies.settings.listen;
    if (peers !== '') {
      const { host, port } = splitAddress(peers);
      this.peers.listen(host, port);
    }
    this.peers.start();
    void this.follower.run();
  }

  /** Sends due heartbeats and updates to peers; called on each tick. */
  tick(): void {
    this.peers.tick();
    this.logViewStaleness();
  }

  /** Sends `message` to the gateway at `address`; returns false if there is no connection to it. */
  sendTo(address: string, message: PeerMessage): boolean {
    return this.peers.sendTo(address, message);
  }

  /** Increases whenever `openPeers` changes. */
  get peerGeneration(): number {
    return this.peers.generation;
  }

  /** The gateways to which a connection is open. */
  get openPeers(): readonly OpenPeer[] {
    return this.peers.openPeers;
  }

  /** Whether the gateway at `address` sent its last heartbeat in time. */
  isPeerHeard(address: string): boolean {
    return this.peers.isHeard(address);
  }

  /** Connects to the gateways among `addresses` that are not known yet. */
  addPeers(addresses: readonly string[]): void {
    this.peers.learnAddresses(addresses);
  }

  /** Sends new tallies of requests that crash backends to all peers immediately. */
  broadcastCrashes(requests: readonly FingerprintCrashes[]): void {
    this.peers.broadcastCrashes(requests);
  }

  /** Sends conditions that backends reported to all peers. */
  broadcastConditions(conditions: readonly ConditionSnapshot[]): void {
    this.peers.broadcastConditions(conditions);
  }

  /** Stops following the store and closes the connections to peers. */
  stop(): void {
    this.follower.stop();
    this.peers.stop();
  }

  private createPeers(): GatewayPeers {
    const { settings, incarnation, quotas, rollouts, clock, random, log } = this.dependencies;
    const { crashes, statements, streams } = this.dependencies;
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
      streams,
      isReading: () => this.follower.isFollowing,
      knowledgeAgeMs: () => this.storeAgeMs,
      onReplicaAge: (progress, ageMs) => this.applyPeerViewAge(progress, ageMs),
      clock,
      random,
      network: this.dependencies.network,
      onPeerChange: (peer, isPresent) =>
        log.write(isPresent ? 'peer-heard' : 'peer-gone', 'state', { peer }),
    });
  }

  private createFollower(): StoreFollower {
    const { store, clock, random, metrics } = this.dependencies;
    return new StoreFollower(
      store,
      {
        onListing: (read) => {
          this.logOutdatedRead(read, 'listing');
          this.deliverRecords(this.records.applyListing(read.records, read), 'listing');
        },
        onListingAfterOutage: (read) => {
          this.logOutdatedRead(read, 'listing-after-outage');
          this.deliverRecords(
            this.records.mergeListing(read.records, read),
            'listing-after-outage',
          );
        },
        onChanges: (read, since) => {
          this.logOutdatedRead(read, 'watch');
          this.deliverRecords(this.records.applyChanges(read.records, since, read), 'watch');
        },
        onReplicaConfirmed: (atMs) => this.viewAge.confirm(atMs),
        onChangesMissing: (seenTo, { epoch, revision }) =>
          this.dependencies.log.write('store-changes-missing', 'state', {
            epoch,
            seenTo: seenTo.revision,
            revision,
          }),
        onEpochMismatch: (call, asked, { epoch, revision }) =>
          this.dependencies.log.write('store-answer-dropped', 'state', {
            call,
            asked,
            epoch,
            revision,
          }),
        onReachabilityChange: (isReachable, reason, heldMs) =>
          this.reportStoreReachability(isReachable, reason, heldMs),
        countFollowers: () => Math.min(this.size, this.readers.readerCount),
        mustFollow: () => this.updateReaderRole(),
        completeTo: () => this.records.completeTo,
        knownEpoch: () => this.epochs.newest,
        onCall: (call, result) =>
          metrics.record(({ storeCalls }) => storeCalls.inc({ call, result })),
      },
      clock,
      random,
    );
  }

  /**
   * Confirms the view as of `ageMs` ago, if it is not behind a peer's view of that age, which has
   * reached `progress`.
   */
  private applyPeerViewAge(progress: ReplicaProgress, ageMs: number): void {
    if (!this.records.isBehind(progress)) {
      this.viewAge.confirm(this.dependencies.clock.now() - ageMs);
    }
  }

  private updateReaderRole(): boolean {
    // Messages may be lost in one direction: a reader whose heartbeats arrive may not receive
    // this gateway's queries.
    const isBehind = this.exchange.behindMs > MAX_REPLICATION_LAG_MS;
    const mustCatchUp = isBehind || this.isKnowledgeOld;
    const mustRead =
      this.readers.mustRead(this.heartbeatMs, this.dependencies.clock.now()) || mustCatchUp;
    if (mustRead !== this.isStoreReader) {
      this.isStoreReader = mustRead;
      this.dependencies.log.write(mustRead ? 'store-reader-on' : 'store-reader-off', 'state', {
        gateways: this.size,
        ...this.records.completeTo,
      });
    }
    return mustRead;
  }

  private logViewStaleness(): void {
    const isStale = this.isKnowledgeOld;
    if (isStale === this.wasViewStale) {
      return;
    }
    this.wasViewStale = isStale;
    this.dependencies.log.write(isStale ? 'knowledge-old' : 'knowledge-confirmed', 'state', {
      storeAgeMs: this.storeAgeMs,
      ...this.records.progress,
      behindMs: this.exchange.behindMs,
      isReading: this.follower.isFollowing,
    });
  }

  private deliverRecords(records: readonly AppliedRecord[], source: RecordsSource): void {
    const { log, onRecords } = this.dependencies;
    const change = this.epochs.detectChange();
    if (change !== undefined) {
      log.write(change.event, 'state', { source, ...change.fields });
    }
    onRecords(records, source);
  }

  /**
   * Logs a read that is older than the replica and records older than the known ones, which are
   * kept.
   */
  private logOutdatedRead(read: StoreRead, source: RecordsSource): void {
    const { log } = this.dependencies;
    const { epoch, revision } = read;
    const { completeTo, currentTo } = this.records.progress;
    if (isLater(currentTo, read)) {
      log.write('store-read-older', 'state', { source, epoch, revision, completeTo, currentTo });
    }
    const rejected = this.records.findLaterThan(read.records);
    const [first] = rejected;
    if (first !== undefined) {
      const { key, epoch: knownEpoch, revision: knownRevision } = first;
      const known = { epoch: knownEpoch, revision: knownRevision };
      const fields = { source, epoch, revision, key, known, records: rejected.length };
      log.write('records-passed-over', 'state', fields);
    }
  }

  private reportStoreReachability(isReachable: boolean, reason: string, heldMs: number): void {
    const { metrics, log } = this.dependencies;
    metrics.record(({ storeReachable }) => storeReachable.set(isReachable ? 1 : 0));
    log.write(isReachable ? 'store-regained' : 'store-lost', 'state', { reason, heldMs });
  }
}
