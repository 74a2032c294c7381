/** Selects the processes that hold the origin of a stream, the same at every gateway. */
import { hashText } from '../../membership/rendezvous.js';
import type { StreamKey } from '../../streams/stream-key.js';

/** A process that can hold origins. */
export interface OriginHolder {
  /** Address that identifies it at every gateway. */
  readonly address: string;
  /** Undefined if it is not known. */
  readonly zone: string | undefined;
}

/** The processes that could hold origins. */
export interface OriginHolders {
  /** Increases whenever `list` returns other processes. */
  readonly generation: number;
  list(): readonly OriginHolder[];
}

/**
 * Rankings are cached for groups of streams, since ranking a large fleet for each stream would cost
 * more than serving it.
 */
const STREAM_GROUPS = 256;
/** Length of a ranking: enough for the holders to be found although some in front are lost. */
const RANKING_LENGTH = 8;

/** Ranks holders for a stream by rendezvous hashing, with different zones first. */
export class OriginHolderRanking {
  private readonly rankings = new Map<number, readonly OriginHolder[]>();
  private generation: number | undefined;

  constructor(private readonly holders: OriginHolders) {}

  /** Returns the first holders in order. */
  rank(key: StreamKey): readonly OriginHolder[] {
    if (this.generation !== this.holders.generation) {
      this.generation = this.holders.generation;
      this.rankings.clear();
    }
    const group = hashText(key) % STREAM_GROUPS;
    const ranking = this.rankings.get(group) ?? rankByZone(`${group}`, this.holders.list());
    this.rankings.set(group, ranking);
    return ranking;
  }
}

/** Orders holders by their hash; the best of each zone precede the others. */
function rankByZone(key: string, holders: readonly OriginHolder[]): readonly OriginHolder[] {
  const ranked = holders
    .map((holder) => ({ holder, score: hashText(`${key}/${holder.address}`) }))
    .sort((left, right) => right.score - left.score)
    .map(({ holder }) => holder);
  const zones = new Set<string | undefined>();
  const firstOfZone = ranked.filter(({ zone }) => {
    const isFirst = !zones.has(zone);
    zones.add(zone);
    return isFirst;
  });
  const others = ranked.filter((holder) => !firstOfZone.includes(holder));
  return [...firstOfZone, ...others].slice(0, RANKING_LENGTH);
}
