/**
 * Decides which gateways read the store, so that its calls do not grow with their number.
 *
 * Every gateway ranks all by the same hash. One reads the store unless enough gateways that rank before
 * it said lately that they do and that the store answers them. Nobody is elected: a reader that dies, is
 * cut off or loses the store is missed after `silenceMs`, and the next in rank begin to read. Gateways
 * that hear no one read themselves, so each partition has its readers. The others learn of changes from
 * readers, by revisions.
 *
 * In a deployment of several regions each has readers of its own: one that is cut off from the others, but
 * not from the store, goes on without a pause.
 */
import { pairShare } from '../pair-share.js';

/** Bounds of the readers. */
export interface StoreReadersOptions {
  /**
   * Gateways that read. Default 8: some may lose the store at once, and the rest
   * still read it through other connections. Where there are no more, all read.
   */
  readonly readers: number;
  /**
   * Gateways that read in each region where regions are named. Default 2: one of them may be lost. It adds two
   * readers to a region at the most, and mostly none, since the first by rank are spread over the regions.
   */
  readonly readersInRegion: number;
  /** Silence after which a reader is missed where beats are not rarer, in milliseconds. Default 1,500. */
  readonly minSilenceMs: number;
  /** The same in periods of beats, for many gateways. Default 3. */
  readonly silenceBeats: number;
}

/** Defaults of the readers. */
export const DEFAULT_STORE_READERS_OPTIONS: StoreReadersOptions = {
  readers: 8,
  readersInRegion: 2,
  minSilenceMs: 1_500,
  silenceBeats: 3,
};

/** The name that the ranks of gateways are drawn for. */
const RANK_NAME = 'store-readers';

interface HeardReader {
  readonly heardAtMs: number;
  readonly region: string | undefined;
}

/** Which of the gateways that this one hears read the store. */
export class StoreReaders {
  private readonly rank: number;
  /** Gateways that said lately that they read, by incarnation. */
  private readonly reading = new Map<string, HeardReader>();

  constructor(
    incarnation: string,
    private readonly options: StoreReadersOptions = DEFAULT_STORE_READERS_OPTIONS,
    /** Region of this gateway; undefined where none are named. */
    private readonly region?: string,
  ) {
    this.rank = rankOf(incarnation);
  }

  /** A peer said whether it reads the store and is answered. */
  hear(peer: string, isReading: boolean, nowMs: number, region?: string): void {
    if (isReading) {
      this.reading.set(peer, { heardAtMs: nowMs, region });
    } else {
      this.reading.delete(peer);
    }
  }

  /** Gateways that share the calls of the store: those heard to read, and this one, or as many as usually do. */
  get sharing(): number {
    return Math.max(this.options.readers, this.reading.size + 1);
  }

  /** A peer is gone. */
  forget(peer: string): void {
    this.reading.delete(peer);
  }

  /** Whether this gateway must read; beats of peers come every `beatMs`. */
  mustRead(beatMs: number, nowMs: number): boolean {
    const silenceMs = Math.max(this.options.minSilenceMs, beatMs * this.options.silenceBeats);
    let before = 0;
    let beforeInRegion = 0;
    for (const [peer, { heardAtMs, region }] of this.reading) {
      if (nowMs - heardAtMs > silenceMs) {
        this.reading.delete(peer);
      } else if (rankOf(peer) < this.rank) {
        before += 1;
        beforeInRegion += region === this.region ? 1 : 0;
      }
    }
    const { readers, readersInRegion } = this.options;
    const isMissedInRegion = this.region !== undefined && beforeInRegion < readersInRegion;
    return before < readers || isMissedInRegion;
  }
}

function rankOf(incarnation: string): number {
  return pairShare(RANK_NAME, incarnation);
}
