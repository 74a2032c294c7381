/** Selects the bounded subset of agents to which an entry connects. */
import type { CompiledPolicy } from '../policy/compiled-policy.js';
import type { Machine, ProcessIdentity } from './machine.js';
import { pickByRendezvous } from './rendezvous.js';

/** Size limits of a subset. */
export interface SubsetOptions {
  /** Maximum number of agents per model and place in the entry's own region. */
  readonly agentsPerPool: number;
  /** Maximum number of agents per model and place in each other region. */
  readonly agentsPerRemotePool: number;
}

/**
 * Selects agents per pool; a pool is the engines of one model in one place. Many agents are
 * selected in the entry's own region and a few elsewhere, so that every place that a selector can
 * match stays reachable while the number of connections does not grow with the fleet.
 */
export function selectAgents(
  identity: ProcessIdentity,
  policy: CompiledPolicy,
  machines: readonly Machine[],
  options: SubsetOptions,
): Set<string> {
  const selected = new Set<string>();
  for (const [poolKey, pool] of groupIntoPools(policy, machines)) {
    const isLocal = pool[0]!.region === identity.region;
    const limit = isLocal ? options.agentsPerPool : options.agentsPerRemotePool;
    const names = pool.map((machine) => machine.name);
    for (const name of pickByRendezvous(`${identity.name}/${poolKey}`, names, limit)) {
      selected.add(name);
    }
  }
  return selected;
}

function groupIntoPools(
  policy: CompiledPolicy,
  machines: readonly Machine[],
): Map<string, Machine[]> {
  const pools = new Map<string, Machine[]>();
  for (const machine of machines) {
    const engine = policy.engines.get(machine.name);
    if (machine.role !== 'agent' || machine.state === 'leaving' || engine === undefined) {
      continue;
    }
    for (const model of engine.models) {
      const key = `${model}@${engine.place}`;
      const pool = pools.get(key) ?? [];
      pool.push(machine);
      pools.set(key, pool);
    }
  }
  return pools;
}
