/** How two processes bring each other's policy up to date over the connection they have anyway. */
import type { Message } from '../protocol/messages.js';
import { policyUpdateSchema } from './replica.js';
import type { InstallOutcome, PolicyReplica } from './replica.js';

/** Shortest time between two requests for missing changes, in milliseconds. */
const REQUEST_INTERVAL_MS = 500;

/** Asks peers for what this process's replica misses and answers peers that are behind. */
export class PolicyExchange {
  private lastRequestAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly replica: PolicyReplica) {}

  /** The request to send to a peer that shows `peerGeneration`, if one is due. */
  onPeerGeneration(peerGeneration: number, nowMs: number): Message | undefined {
    const isBehind = peerGeneration > this.replica.generation;
    if (!isBehind || nowMs - this.lastRequestAtMs < REQUEST_INTERVAL_MS) {
      return undefined;
    }
    this.lastRequestAtMs = nowMs;
    return { kind: 'policy-request', generation: this.replica.generation };
  }

  /** The answer to a peer that asked for what is newer than `generation`. */
  onPolicyRequest(generation: number): Message | undefined {
    const update = this.replica.updateFor(generation);
    return update === undefined
      ? undefined
      : { kind: 'policy-update', json: JSON.stringify(update) };
  }

  /** Installs what a peer sent. */
  onPolicyUpdate(json: string): InstallOutcome | 'malformed' {
    const parsed = policyUpdateSchema.safeParse(parseJson(json));
    return parsed.success ? this.replica.install(parsed.data) : 'malformed';
  }

  /** The request for the whole document, after a delta that did not fit. */
  requestFull(): Message {
    return { kind: 'policy-request', generation: 0 };
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
