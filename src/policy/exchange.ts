/** How two processes bring each other's policy up to date over the connection they have anyway. */
import type { Message } from '../protocol/messages.js';
import { policyUpdateSchema } from './replica.js';
import type { InstallOutcome, PolicyReplica } from './replica.js';

/** Shortest time between two requests for missing changes, in milliseconds. */
const REQUEST_INTERVAL_MS = 500;
/** Time after a request in which a peer that was asked is passed over for one that was not, in milliseconds. */
const OTHERS_FIRST_MS = 1_500;

/** A message about policy. */
export type PolicyMessage = Extract<Message, { kind: 'policy-request' | 'policy-update' }>;

/** Asks peers for what this process's replica misses and answers peers that are behind. */
export class PolicyExchange {
  private lastRequestAtMs = Number.NEGATIVE_INFINITY;
  /** Peers that showed a newer generation since the last one was installed, and those of them that were asked. */
  private readonly ahead = new Set<string>();
  private readonly asked = new Set<string>();

  constructor(private readonly replica: PolicyReplica) {}

  /**
   * The request to send to a peer that shows `peerGeneration`, if one is due. A peer whose words arrive may not hear
   * this process, so that others that are ahead are asked before it is asked again.
   */
  onPeerGeneration(peer: string, peerGeneration: number, nowMs: number): Message | undefined {
    if (peerGeneration <= this.replica.generation) {
      return undefined;
    }
    this.ahead.add(peer);
    const sinceMs = nowMs - this.lastRequestAtMs;
    if (sinceMs < REQUEST_INTERVAL_MS || (this.mustAskOthers(peer) && sinceMs < OTHERS_FIRST_MS)) {
      return undefined;
    }
    this.asked.add(peer);
    this.lastRequestAtMs = nowMs;
    return { kind: 'policy-request', generation: this.replica.generation };
  }

  private mustAskOthers(peer: string): boolean {
    return this.asked.has(peer) && [...this.ahead].some((other) => !this.asked.has(other));
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
    const outcome = parsed.success ? this.replica.install(parsed.data) : 'malformed';
    if (outcome === 'installed') {
      this.ahead.clear();
      this.asked.clear();
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
