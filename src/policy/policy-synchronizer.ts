/** Synchronizes the policy between connected processes over their existing connections. */
import type { Message } from '../protocol/messages.js';
import { policyUpdateSchema } from './replica.js';
import type { InstallOutcome, PolicyReplica } from './replica.js';

/**
 * Minimum interval between two update requests, in milliseconds. A request for the full document
 * after a delta that could not be applied is sent immediately.
 */
const REQUEST_INTERVAL_MS = 500;
/**
 * Time after a request during which no second request is sent to a peer while another newer peer
 * has not been sent one, in milliseconds.
 */
const SAME_PEER_INTERVAL_MS = 1_500;

/** A message of the policy synchronization protocol. */
export type PolicySyncMessage = Extract<Message, { kind: 'policy-request' | 'policy-update' }>;

/** Requests missing policy changes from peers and sends updates to peers with older generations. */
export class PolicySynchronizer {
  private lastRequestAtMs = Number.NEGATIVE_INFINITY;
  /** Peers that reported a newer generation since the last install. */
  private readonly newerPeers = new Set<string>();
  /** Those of `newerPeers` to which a request was sent. */
  private readonly requestedPeers = new Set<string>();

  constructor(private readonly replica: PolicyReplica) {}

  /**
   * Returns the update request to send to a peer that reported `peerGeneration`, if one is due.
   * Connectivity may be one-way, so that a peer whose reports arrive never receives the request;
   * other peers with a newer generation are therefore sent a request before the same peer is sent
   * another one, for up to `SAME_PEER_INTERVAL_MS`.
   */
  onPeerGeneration(peer: string, peerGeneration: number, nowMs: number): Message | undefined {
    if (peerGeneration <= this.replica.generation) {
      return undefined;
    }
    this.newerPeers.add(peer);
    const sinceMs = nowMs - this.lastRequestAtMs;
    if (
      sinceMs < REQUEST_INTERVAL_MS ||
      (this.shouldRequestFromOthersFirst(peer) && sinceMs < SAME_PEER_INTERVAL_MS)
    ) {
      return undefined;
    }
    this.requestedPeers.add(peer);
    this.lastRequestAtMs = nowMs;
    return { kind: 'policy-request', generation: this.replica.generation };
  }

  private shouldRequestFromOthersFirst(peer: string): boolean {
    return (
      this.requestedPeers.has(peer) &&
      [...this.newerPeers].some((other) => !this.requestedPeers.has(other))
    );
  }

  /**
   * Handles a peer's request or update; returns the reply, if any, and whether a newer policy was
   * installed.
   */
  handleMessage(message: PolicySyncMessage): {
    readonly reply: Message | undefined;
    readonly isInstalled: boolean;
  } {
    if (message.kind === 'policy-request') {
      return { reply: this.createUpdateMessage(message.generation), isInstalled: false };
    }
    const outcome = this.install(message.json);
    const reply: Message | undefined =
      outcome === 'needs-full' ? { kind: 'policy-request', generation: 0 } : undefined;
    return { reply, isInstalled: outcome === 'installed' };
  }

  private createUpdateMessage(generation: number): Message | undefined {
    const update = this.replica.updateFor(generation);
    return update === undefined
      ? undefined
      : { kind: 'policy-update', json: JSON.stringify(update) };
  }

  private install(json: string): InstallOutcome | 'malformed' {
    const parsed = policyUpdateSchema.safeParse(parseJson(json));
    const outcome = parsed.success ? this.replica.install(parsed.data) : 'malformed';
    if (outcome === 'installed') {
      this.newerPeers.clear();
      this.requestedPeers.clear();
    }
    return outcome;
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
