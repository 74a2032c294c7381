/**
 * Decides which gateways read the store, so that the load on the store does not grow with the
 * number of gateways.
 *
 * All gateways compute the same ranking from a hash of their incarnations. A gateway reads the
 * store unless enough gateways with a lower rank have recently reported in a heartbeat that they
 * read it successfully. There is no election: when a reader loses the store, its next heartbeat
 * reports that; when it dies or is partitioned, its last report expires after a timeout of at least
 * `minSilenceMs`. In either case the next gateways in rank start to read. A gateway that receives
 * no heartbeats reads the store itself, so each partition has its own readers. The other gateways
 * receive changes from the readers, by position.
 *
 * In a deployment with several regions, each region has its own readers, so that a region that is
 * partitioned from the others but not from the store keeps reading without interruption.
 */
import { pairHash } from '../pair-hash.js';

/** Number of readers and timeout of their heartbeats. */
export interface StoreReaderSelectorOptions {
  /**
   * Number of gateways that read. Default 8: if some lose the store at the same time, the others
   * still read it through other connections. With at most this many gateways, all of them read.
   */
  readonly readers: number;
  /**
   * Minimum number of readers in each region, if regions are configured. Default 2: one of them may
   * fail. This adds at most two readers per region, and usually none, since the first gateways by
   * rank are spread over the regions.
   */
  readonly readersPerRegion: number;
  /**
   * Minimum time without a heartbeat after which a reader is considered lost, in milliseconds.
   * Default 1,500.
   */
  readonly minSilenceMs: number;
  /** The same in heartbeat intervals, which grow with the number of gateways. Default 3. */
  readonly silenceHeartbeats: number;
}

/** Default options of the reader selection. */
export const DEFAULT_STORE_READER_SELECTOR_OPTIONS: StoreReaderSelectorOptions = {
  readers: 8,
  readersPerRegion: 2,
  minSilenceMs: 1_500,
  silenceHeartbeats: 3,
};

/** Hashed together with the incarnation of a gateway to compute its rank. */
const RANK_HASH_KEY = 'store-readers';

interface ActiveReader {
  readonly lastHeartbeatAtMs: number;
  readonly region: string | undefined;
}

/** Decides whether this gateway must read the store, from the heartbeats of its peers. */
export class StoreReaderSelector {
  private readonly rank: number;
  /** Peers whose last heartbeat reported that they read the store, by incarnation. */
  private readonly activeReaders = new Map<string, ActiveReader>();

  constructor(
    incarnation: string,
    private readonly options: StoreReaderSelectorOptions = DEFAULT_STORE_READER_SELECTOR_OPTIONS,
    /** Region of this gateway; undefined if no regions are configured. */
    private readonly region?: string,
  ) {
    this.rank = rankOf(incarnation);
  }

  /**
   * Records the heartbeat of a peer, which reports whether the peer reads the store successfully.
   */
  receiveHeartbeat(peer: string, isReading: boolean, nowMs: number, region?: string): void {
    if (isReading) {
      this.activeReaders.set(peer, { lastHeartbeatAtMs: nowMs, region });
    } else {
      this.activeReaders.delete(peer);
    }
  }

  /**
   * Estimated number of gateways that call the store: the known readers and this gateway, at least
   * `readers`.
   */
  get readerCount(): number {
    return Math.max(this.options.readers, this.activeReaders.size + 1);
  }

  /** Removes a peer that is gone. */
  removePeer(peer: string): void {
    this.activeReaders.delete(peer);
  }

  /**
   * Whether this gateway must read the store, if peers send heartbeats every `heartbeatIntervalMs`.
   */
  mustRead(heartbeatIntervalMs: number, nowMs: number): boolean {
    const silenceMs = Math.max(
      this.options.minSilenceMs,
      heartbeatIntervalMs * this.options.silenceHeartbeats,
    );
    let lowerRanked = 0;
    let lowerRankedInRegion = 0;
    for (const [peer, { lastHeartbeatAtMs, region }] of this.activeReaders) {
      if (nowMs - lastHeartbeatAtMs > silenceMs) {
        this.activeReaders.delete(peer);
      } else if (rankOf(peer) < this.rank) {
        lowerRanked += 1;
        lowerRankedInRegion += region === this.region ? 1 : 0;
      }
    }
    const { readers, readersPerRegion } = this.options;
    const isNeededInRegion = this.region !== undefined && lowerRankedInRegion < readersPerRegion;
    return lowerRanked < readers || isNeededInRegion;
  }
}

function rankOf(incarnation: string): number {
  return pairHash(RANK_HASH_KEY, incarnation);
}
