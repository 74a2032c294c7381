/**
 * Decides which gateways read the store, so that its calls do not grow with their number.
 *
 * Every gateway ranks all by the same hash. One reads the store unless enough gateways that rank before
 * it said lately that they do and that the store answers them. Nobody is elected: a reader that dies, is
 * cut off or loses the store is missed after `silenceMs`, and the next in rank begin to read. Gateways
 * that hear no one read themselves, so each partition has its readers. The others learn of changes from
 * readers, by revisions.
 */
import { pairShare } from '../pair-share.js';

/** Bounds of the readers. */
export interface StoreReadersOptions {
  /**
   * Gateways that read. Default 8, chosen and not measured: some may lose the store at once, and the rest
   * still read it through other connections. Where there are no more, all read.
   */
  readonly readers: number;
  /** Silence after which a reader is missed where beats are not rarer, in milliseconds. Default 1,500. */
  readonly minSilenceMs: number;
  /** The same in periods of beats, for many gateways. Default 3. */
  readonly silenceBeats: number;
}

/** Defaults of the readers. */
export const DEFAULT_STORE_READERS_OPTIONS: StoreReadersOptions = {
  readers: 8,
  minSilenceMs: 1_500,
  silenceBeats: 3,
};

/** The name that the ranks of gateways are drawn for. */
const RANK_NAME = 'store-readers';

/** Which of the gateways that this one hears read the store. */
export class StoreReaders {
  private readonly rank: number;
  /** When each gateway said last that it reads, by incarnation. */
  private readonly readingAtMs = new Map<string, number>();
  /** When a reader was heard last, in milliseconds; -Infinity before the first. */
  heardAtMs = -Infinity;

  constructor(
    incarnation: string,
    private readonly options: StoreReadersOptions = DEFAULT_STORE_READERS_OPTIONS,
  ) {
    this.rank = rankOf(incarnation);
  }

  /** A peer said whether it reads the store and is answered. */
  hear(peer: string, isReading: boolean, nowMs: number): void {
    if (isReading) {
      this.readingAtMs.set(peer, nowMs);
      this.heardAtMs = nowMs;
    } else {
      this.readingAtMs.delete(peer);
    }
  }

  /** A peer is gone. */
  forget(peer: string): void {
    this.readingAtMs.delete(peer);
  }

  /** Whether this gateway must read; beats of peers come every `beatMs`. */
  mustRead(beatMs: number, nowMs: number): boolean {
    const silenceMs = Math.max(this.options.minSilenceMs, beatMs * this.options.silenceBeats);
    let before = 0;
    for (const [peer, heardAtMs] of this.readingAtMs) {
      if (nowMs - heardAtMs > silenceMs) {
        this.readingAtMs.delete(peer);
      } else if (rankOf(peer) < this.rank) {
        before += 1;
      }
    }
    return before < this.options.readers;
  }
}

function rankOf(incarnation: string): number {
  return pairShare(RANK_NAME, incarnation);
}
