/**
 * This gateway's part of what gateways without a link to an agent send a cold back end, without a word
 * between them.
 */
import { pairShare } from '../../pair-share.js';
import { partByRank } from '../../routing/cold-start.js';

/** What a gateway knows of the others. */
export interface GatewayView {
  /** Address of this gateway among its peers. */
  readonly self: string;
  /** Addresses of every other gateway that this process ever heard of, gone ones included. */
  readonly others: ReadonlySet<string>;
  /** Whether some peer was ever heard, or there is none by configuration. */
  readonly hasHeardPeers: boolean;
  readonly startedAtMs: number;
}

/**
 * Time from the start until a gateway counts on its view, in milliseconds: peers connect within the first
 * second and pass on all addresses that they know; what an earlier process at this address sent has left
 * every window by then.
 */
export const SETTLE_MS = 3_000;

/** Whether a gateway knows enough of the others to use its part. */
export function isSettled({ hasHeardPeers, startedAtMs }: GatewayView, nowMs: number): boolean {
  return hasHeardPeers && nowMs - startedAtMs >= SETTLE_MS;
}

/** This gateway's part of `total` at a back end; 0 while it does not know the others. */
export function coldShare(
  view: GatewayView,
  backendId: string,
  total: number,
  nowMs: number,
): number {
  if (!isSettled(view, nowMs)) {
    return 0;
  }
  const { self, others } = view;
  const before = [...others].filter((other) => other !== self && isBefore(other, self, backendId));
  return partByRank(total, before.length, others.has(self) ? others.size : others.size + 1);
}

function isBefore(other: string, self: string, backendId: string): boolean {
  const [theirs, own] = [pairShare(other, backendId), pairShare(self, backendId)];
  return theirs < own || (theirs === own && other < self);
}
