import type { AgentCore } from '../../src/agent/agent-core.js';
import type { AgentEvent } from '../../src/agent/agent-events.js';
import type { EntryCore } from '../../src/entry/entry-core.js';
import type { EntryEvent } from '../../src/entry/entry-events.js';
import type { CompiledPolicy } from '../../src/policy/compiled-policy.js';
import type { Message } from '../../src/protocol/messages.js';
import type { FaultKind } from '../../src/sim/fault.js';
import type { SimHooks } from '../../src/sim/sim-daemon.js';

/** A defect injected into the code under test, and the check that must detect it. */
export interface BrokenVariant {
  readonly name: string;
  readonly check: string;
  readonly faultSet: readonly FaultKind[];
  readonly load: number;
  readonly durationMs?: number;
  readonly createHooks: () => SimHooks;
}

function interceptAgentEvents(
  core: AgentCore,
  transform: (event: AgentEvent) => AgentEvent | undefined,
): void {
  const handle = core.handle.bind(core);
  core.handle = (event, nowMs) => {
    const transformed = transform(event);
    return transformed === undefined ? [] : handle(transformed, nowMs);
  };
}

function interceptEntryEvents(
  core: EntryCore,
  transform: (event: EntryEvent) => EntryEvent | undefined,
): void {
  const handle = core.handle.bind(core);
  core.handle = (event, nowMs) => {
    const transformed = transform(event);
    return transformed === undefined ? [] : handle(transformed, nowMs);
  };
}

function mapMessages(
  event: AgentEvent,
  transform: (message: Message) => Message | undefined,
): AgentEvent {
  if (event.kind !== 'frame') {
    return event;
  }
  const messages = event.frame.messages.map(transform).filter((one) => one !== undefined);
  return { ...event, frame: { ...event.frame, messages } };
}

export const BROKEN_VARIANTS: readonly BrokenVariant[] = [
  {
    name: 'an entry that binds a request to two agents',
    check: 'dispatched-once',
    faultSet: [],
    load: 0.3,
    createHooks: () => ({
      transformEntryEffects: (effects, core) =>
        effects.flatMap((effect) => {
          if (effect.kind !== 'send' || effect.message.kind !== 'bind') {
            return [effect];
          }
          const otherPeers = [...core.state.peers.keys()].filter((name) => name !== effect.peer);
          return [effect, { ...effect, peer: otherPeers[0]! }];
        }),
    }),
  },
  {
    name: 'an entry that treats a claimed idempotency key as its own',
    check: 'dispatched-once',
    faultSet: [],
    load: 0.3,
    createHooks: () => ({
      onEntryCore: (core) =>
        interceptEntryEvents(core, (event) =>
          event.kind === 'claim-resolved' ? { ...event, outcome: 'claimed' } : event,
        ),
      // Loses every response of the ledger, so that callers retry with the same idempotency key.
      transformEntryEffects: (effects) =>
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
    name: 'an entry that reports every refused request as not run',
    check: 'told-not-run',
    faultSet: ['kill-agent', 'crash-engine'],
    load: 0.8,
    createHooks: () => ({
      transformEntryEffects: (effects) =>
        effects.map((effect) =>
          effect.kind === 'refuse'
            ? { ...effect, refusal: { ...effect.refusal, ran: 'no' as const } }
            : effect,
        ),
    }),
  },
  {
    name: 'an agent that drops every 50th response chunk and numbers the others consecutively',
    check: 'whole-answer',
    faultSet: [],
    load: 0.3,
    createHooks: () => ({
      onAgentCore: (core) => {
        let count = 0;
        interceptAgentEvents(core, (event) => {
          count += event.kind === 'engine-chunk' ? 1 : 0;
          return event.kind === 'engine-chunk' && count % 50 === 0 ? undefined : event;
        });
      },
    }),
  },
  {
    name: 'an entry that sends response chunks to the caller of another request',
    check: 'whole-answer',
    faultSet: [],
    load: 0.3,
    createHooks: () => {
      let previous = '';
      return {
        transformEntryEffects: (effects) =>
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
    name: 'an agent that exits immediately on graceful shutdown',
    check: 'whole-answer',
    faultSet: ['leave-agent', 'leave-place'],
    load: 0.8,
    createHooks: () => ({
      transformAgentEffects: (effects, core) =>
        core.state.isLeaving ? [...effects, { kind: 'left' }] : effects,
    }),
  },
  {
    name: 'an agent that serves the lowest tier first and never preempts',
    check: 'tier-order',
    faultSet: [],
    load: 2.5,
    durationMs: 12_000,
    createHooks: () => ({
      onAgentCore: (core) =>
        interceptAgentEvents(core, (event) =>
          mapMessages(event, (message) =>
            message.kind === 'bid' || message.kind === 'bind'
              ? { ...message, tier: 10 - message.tier, isUrgent: false }
              : message,
          ),
        ),
    }),
  },
  {
    name: 'a cluster that ignores the graceful shutdown of agents',
    check: 'leaving',
    faultSet: ['leave-agent', 'leave-place'],
    load: 0.8,
    createHooks: () => ({
      onAgentCore: (core) =>
        interceptAgentEvents(core, (event) => {
          if (event.kind === 'leave') {
            return undefined;
          }
          return event.kind === 'fleet' ? { ...event, ownState: 'live' } : event;
        }),
      onEntryCore: (core) =>
        interceptEntryEvents(core, (event) =>
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
    name: 'a process that applies its first policy while it reports the new generation',
    check: 'policy-in-force',
    faultSet: ['policy-change'],
    load: 0.8,
    createHooks: () => {
      const pinFirstPolicy = (replica: AgentCore['state']['replica']) => {
        let first: CompiledPolicy | undefined;
        const permittedByGeneration = new Map<number, typeof replica.permitted>();
        const policyGetter = Object.getOwnPropertyDescriptor(
          Object.getPrototypeOf(replica),
          'policy',
        );
        const permittedGetter = Object.getOwnPropertyDescriptor(
          Object.getPrototypeOf(replica),
          'permitted',
        );
        Object.defineProperty(replica, 'policy', {
          get() {
            const current = policyGetter?.get?.call(replica) as CompiledPolicy;
            first ??= current.generation > 0 ? current : undefined;
            return first ?? current;
          },
        });
        Object.defineProperty(replica, 'permitted', {
          get() {
            if (replica.generation > 0 && !permittedByGeneration.has(1)) {
              permittedByGeneration.set(
                1,
                permittedGetter?.get?.call(replica) as typeof replica.permitted,
              );
            }
            return (
              permittedByGeneration.get(1) ??
              (permittedGetter?.get?.call(replica) as typeof replica.permitted)
            );
          },
        });
      };
      return {
        onAgentCore: (core) => pinFirstPolicy(core.state.replica),
        onEntryCore: (core) => pinFirstPolicy(core.state.replica),
      };
    },
  },
  {
    name: 'a process that never requests a missing policy from its peers',
    check: 'policy-in-force',
    faultSet: ['policy-change'],
    load: 0.2,
    createHooks: () => ({
      transformAgentEffects: (effects) =>
        effects.filter(
          (effect) => effect.kind !== 'send' || effect.message.kind !== 'policy-request',
        ),
      transformEntryEffects: (effects) =>
        effects.filter(
          (effect) => effect.kind !== 'send' || effect.message.kind !== 'policy-request',
        ),
    }),
  },
];
