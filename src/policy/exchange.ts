/** How two processes bring each other's policy up to date over the connection they have anyway. */
import type { Message } from '../protocol/messages.js';
import { policyUpdateSchema } from './replica.js';
import type { InstallOutcome, PolicyReplica } from './replica.js';

/** Shortest time between two requests for missing changes, in milliseconds. */
const REQUEST_INTERVAL_MS = 500;

/** A message about policy. */
export type PolicyMessage = Extract<Message, { kind: 'policy-request' | 'policy-update' }>;

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

  /** Takes a peer's request or update; says what to send back and whether a newer policy came into force. */
  take(message: PolicyMessage): {
    readonly reply: Message | undefined;
    readonly isInstalled: boolean;
  } {
    if (message.kind === 'policy-request') {
      return { reply: this.answerRequest(message.generation), isInstalled: false };
    }
    const outcome = this.install(message.json);
    const reply: Message | undefined =
      outcome === 'needs-full' ? { kind: 'policy-request', generation: 0 } : undefined;
    return { reply, isInstalled: outcome === 'installed' };
  }

  private answerRequest(generation: number): Message | undefined {
    const update = this.replica.updateFor(generation);
    return update === undefined
      ? undefined
      : { kind: 'policy-update', json: JSON.stringify(update) };
  }

  private install(json: string): InstallOutcome | 'malformed' {
    const parsed = policyUpdateSchema.safeParse(parseJson(json));
    return parsed.success ? this.replica.install(parsed.data) : 'malformed';
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
