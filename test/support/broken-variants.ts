import type { AgentCore } from '../../src/agent/agent-core.js';
import type { AgentEvent } from '../../src/agent/agent-events.js';
import type { EntryCore } from '../../src/entry/entry-core.js';
import type { EntryEvent } from '../../src/entry/entry-events.js';
import type { CompiledPolicy } from '../../src/policy/compiled-policy.js';
import type { Message } from '../../src/protocol/messages.js';
import type { FaultKind } from '../../src/sim/fault.js';
import type { SimHooks } from '../../src/sim/sim-daemon.js';

/** The code under test, broken on purpose, and the check that must notice. */
export interface BrokenVariant {
  readonly name: string;
  readonly check: string;
  readonly faultSet: readonly FaultKind[];
  readonly load: number;
  readonly durationMs?: number;
  readonly createHooks: () => SimHooks;
}

function wrapAgent(core: AgentCore, change: (event: AgentEvent) => AgentEvent | undefined): void {
  const handle = core.handle.bind(core);
  core.handle = (event, nowMs) => {
    const changed = change(event);
    return changed === undefined ? [] : handle(changed, nowMs);
  };
}

function wrapEntry(core: EntryCore, change: (event: EntryEvent) => EntryEvent | undefined): void {
  const handle = core.handle.bind(core);
  core.handle = (event, nowMs) => {
    const changed = change(event);
    return changed === undefined ? [] : handle(changed, nowMs);
  };
}

function mapMessages(
  event: AgentEvent,
  change: (message: Message) => Message | undefined,
): AgentEvent {
  if (event.kind !== 'frame') {
    return event;
  }
  const messages = event.frame.messages.map(change).filter((one) => one !== undefined);
  return { ...event, frame: { ...event.frame, messages } };
}

export const BROKEN_VARIANTS: readonly BrokenVariant[] = [
  {
    name: 'an entry that binds a request to two agents',
    check: 'dispatched-once',
    faultSet: [],
    load: 0.3,
    createHooks: () => ({
      changeEntryEffects: (effects, core) =>
        effects.flatMap((effect) => {
          if (effect.kind !== 'send' || effect.message.kind !== 'bind') {
            return [effect];
          }
          const others = [...core.state.peers.keys()].filter((name) => name !== effect.peer);
          return [effect, { ...effect, peer: others[0]! }];
        }),
    }),
  },
  {
    name: 'an entry that takes a used idempotency key for its own',
    check: 'dispatched-once',
    faultSet: [],
    load: 0.3,
    createHooks: () => ({
      onEntryCore: (core) =>
        wrapEntry(core, (event) =>
          event.kind === 'claim-resolved' ? { ...event, outcome: 'claimed' } : event,
        ),
      // Every answer of the ledger is lost, so that its callers try again with the same key.
      changeEntryEffects: (effects) =>
        effects.map((effect) =>
          effect.kind === 'answer-end' && effect.usage.engine.startsWith('ledger')
            ? {
                kind: 'refuse',
                id: effect.id,
                refusal: { reason: 'engine-lost', ran: 'unknown', detail: 'lost by the test' },
              }
            : effect,
        ),
    }),
  },
  {
    name: 'an entry that says "not run" when it only lost contact',
    check: 'told-not-run',
    faultSet: ['kill-agent', 'crash-engine'],
    load: 0.8,
    createHooks: () => ({
      changeEntryEffects: (effects) =>
        effects.map((effect) =>
          effect.kind === 'refuse'
            ? { ...effect, refusal: { ...effect.refusal, ran: 'no' as const } }
            : effect,
        ),
    }),
  },
  {
    name: 'an agent that loses one chunk of an answer and counts the rest',
    check: 'whole-answer',
    faultSet: [],
    load: 0.3,
    createHooks: () => ({
      onAgentCore: (core) => {
        let count = 0;
        wrapAgent(core, (event) => {
          count += event.kind === 'engine-chunk' ? 1 : 0;
          return event.kind === 'engine-chunk' && count % 50 === 0 ? undefined : event;
        });
      },
    }),
  },
  {
    name: 'an entry that hands a chunk to the caller of another request',
    check: 'whole-answer',
    faultSet: [],
    load: 0.3,
    createHooks: () => {
      let previous = '';
      return {
        changeEntryEffects: (effects) =>
          effects.map((effect) => {
            if (effect.kind !== 'answer-chunk') {
              return effect;
            }
            const id = previous === '' ? effect.id : previous;
            previous = effect.id;
            return { ...effect, id };
          }),
      };
    },
  },
  {
    name: 'an agent that ends at once when it is told to leave',
    check: 'whole-answer',
    faultSet: ['leave-agent', 'leave-place'],
    load: 0.8,
    createHooks: () => ({
      changeAgentEffects: (effects, core) =>
        core.state.isLeaving ? [...effects, { kind: 'left' }] : effects,
    }),
  },
  {
    name: 'an agent that serves the lowest tier first and lets none make room',
    check: 'tier-order',
    faultSet: [],
    load: 2.5,
    durationMs: 12_000,
    createHooks: () => ({
      onAgentCore: (core) =>
        wrapAgent(core, (event) =>
          mapMessages(event, (message) =>
            message.kind === 'bid' || message.kind === 'bind'
              ? { ...message, tier: 10 - message.tier, isUrgent: false }
              : message,
          ),
        ),
    }),
  },
  {
    name: 'an agent that does not heed being told to leave',
    check: 'leaving',
    faultSet: ['leave-agent', 'leave-place'],
    load: 0.8,
    createHooks: () => ({
      onAgentCore: (core) =>
        wrapAgent(core, (event) => {
          if (event.kind === 'leave') {
            return undefined;
          }
          return event.kind === 'fleet' ? { ...event, ownState: 'live' } : event;
        }),
      onEntryCore: (core) =>
        wrapEntry(core, (event) =>
          event.kind === 'fleet'
            ? {
                ...event,
                machines: event.machines.map((one) => ({ ...one, state: 'live' as const })),
              }
            : event,
        ),
    }),
  },
  {
    name: 'a replica that installs an older generation',
    check: 'policy-in-force',
    faultSet: ['policy-change'],
    load: 0.2,
    createHooks: () => ({
      onAgentCore: (core) => {
        const { replica, identity } = core.state;
        if (identity.name !== 'hall-a-1') {
          return;
        }
        const fields = replica as unknown as { compiled: CompiledPolicy };
        const install = replica.install.bind(replica);
        const installed: CompiledPolicy[] = [];
        replica.install = (update) => {
          const outcome = install(update);
          if (outcome === 'installed') {
            installed.push(fields.compiled);
          }
          if (outcome === 'installed' && installed.length === 3) {
            fields.compiled = installed[0]!;
          }
          return outcome;
        };
      },
    }),
  },
  {
    name: 'an agent that decides under an old policy while it shows the new generation',
    check: 'policy-in-force',
    faultSet: ['policy-change'],
    load: 0.8,
    createHooks: () => {
      const keepFirst = (replica: AgentCore['state']['replica']) => {
        let first: CompiledPolicy | undefined;
        const permitted = new Map<number, typeof replica.permitted>();
        const original = Object.getOwnPropertyDescriptor(Object.getPrototypeOf(replica), 'policy');
        const cache = Object.getOwnPropertyDescriptor(Object.getPrototypeOf(replica), 'permitted');
        Object.defineProperty(replica, 'policy', {
          get() {
            const current = original?.get?.call(replica) as CompiledPolicy;
            first ??= current.generation > 0 ? current : undefined;
            return first ?? current;
          },
        });
        Object.defineProperty(replica, 'permitted', {
          get() {
            if (replica.generation > 0 && !permitted.has(1)) {
              permitted.set(1, cache?.get?.call(replica) as typeof replica.permitted);
            }
            return permitted.get(1) ?? (cache?.get?.call(replica) as typeof replica.permitted);
          },
        });
      };
      return {
        onAgentCore: (core) => keepFirst(core.state.replica),
        onEntryCore: (core) => keepFirst(core.state.replica),
      };
    },
  },
  {
    name: 'a process that asks nobody for the policy it misses',
    check: 'policy-in-force',
    faultSet: ['policy-change'],
    load: 0.2,
    createHooks: () => ({
      changeAgentEffects: (effects) =>
        effects.filter(
          (effect) => effect.kind !== 'send' || effect.message.kind !== 'policy-request',
        ),
      changeEntryEffects: (effects) =>
        effects.filter(
          (effect) => effect.kind !== 'send' || effect.message.kind !== 'policy-request',
        ),
    }),
  },
];
