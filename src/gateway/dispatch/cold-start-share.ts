/**
 * This gateway's share of the requests that gateways without an agent connection may send to a cold
 * backend; each computes its share without coordination.
 */
import { pairHash } from '../../pair-hash.js';
import { shareByRank } from '../../routing/cold-start.js';

/** A gateway's view of its peers. */
export interface PeerView {
  /** Peer address of this gateway. */
  readonly self: string;
  /** Addresses of every other gateway seen since this process started, including ended ones. */
  readonly others: ReadonlySet<string>;
  /** Whether at least one peer was contacted, or none is configured. */
  readonly hasReachedPeers: boolean;
  readonly startedAtMs: number;
}

/**
 * Time after the start until the peer view is considered complete, in milliseconds. Peers connect
 * within the first second and exchange all known addresses; requests sent by an earlier process at
 * this address have by then left every rate window.
 */
export const PEER_VIEW_SETTLE_MS = 3_000;

/** Whether the peer view is complete enough to compute a share. */
export function isPeerViewSettled(
  { hasReachedPeers, startedAtMs }: PeerView,
  nowMs: number,
): boolean {
  return hasReachedPeers && nowMs - startedAtMs >= PEER_VIEW_SETTLE_MS;
}

/** Returns this gateway's share of `total` at a backend; 0 until the peer view is complete. */
export function coldStartShare(
  view: PeerView,
  backendId: string,
  total: number,
  nowMs: number,
): number {
  if (!isPeerViewSettled(view, nowMs)) {
    return 0;
  }
  const { self, others } = view;
  const precedingPeers = [...others].filter(
    (other) => other !== self && ranksBefore(other, self, backendId),
  );
  return shareByRank(
    total,
    precedingPeers.length,
    others.has(self) ? others.size : others.size + 1,
  );
}

function ranksBefore(other: string, self: string, backendId: string): boolean {
  const [otherHash, ownHash] = [pairHash(other, backendId), pairHash(self, backendId)];
  return otherHash < ownHash || (otherHash === ownHash && other < self);
}
