/** Injects the scheduled faults into a simulation. */
import type { Fault, FaultKind } from './fault.js';
import type { NetworkPartition } from './sim-network.js';
import type { SimAgent } from './sim-agent.js';
import type { SimEntry } from './sim-entry.js';
import type { SimCluster } from './sim-cluster.js';

type FaultInjector = (cluster: SimCluster, fault: Fault) => void;

const BURST_FACTOR = 5;
const ENGINE_SLOW_FACTOR = 3;
const EXTRA_NETWORK_LATENCY_MS = 40;
const LOST_RESPONSES = 2;
const LONG_LIST_LAG_MS = 10_000;

/**
 * Fault kinds that must not lose requests: a request lost under these alone is a defect of
 * weirvale.
 */
const LOSSLESS_FAULT_KINDS: ReadonlySet<FaultKind> = new Set<FaultKind>([
  'leave-agent',
  'leave-place',
  'leave-by-list',
  'leave-entry',
  'policy-change',
  'operator-race',
  'burst',
  'slow-engine',
  'skewed-balancer',
]);

/** Schedules the injection of every fault. */
export function scheduleFaults(cluster: SimCluster, faults: readonly Fault[]): void {
  for (const fault of faults) {
    cluster.clock.setTimeout(() => {
      cluster.observations.log(cluster.clock.now(), `fault ${fault.kind} ${fault.target}`);
      INJECTORS[fault.kind](cluster, fault);
    }, fault.atMs);
  }
}

const INJECTORS: Readonly<Record<FaultKind, FaultInjector>> = {
  'kill-agent': (cluster, fault) => killAndRestart(cluster, fault, pickAgent(cluster, fault)),
  'kill-entry': (cluster, fault) => killAndRestart(cluster, fault, pickEntry(cluster, fault)),
  'freeze-agent': (cluster, fault) => freezeProcess(cluster, fault, pickAgent(cluster, fault)),
  'freeze-entry': (cluster, fault) => freezeProcess(cluster, fault, pickEntry(cluster, fault)),
  'crash-engine': (cluster, fault) => {
    const agent = pickAgent(cluster, fault);
    recordFault(cluster, fault, [agent.machine.name]);
    agent.backend.crash(fault.durationMs);
  },
  'slow-engine': (cluster, fault) => {
    const { engine } = pickAgent(cluster, fault).backend;
    if (engine !== undefined) {
      engine.slowFactor = ENGINE_SLOW_FACTOR;
      undoAfterFault(cluster, fault, () => (engine.slowFactor = 1));
    }
  },
  'cut-pair': (cluster, fault) => {
    const names = [pickEntry(cluster, fault).machine.name, pickAgent(cluster, fault).machine.name];
    partitionNetwork(cluster, fault, names, [
      { from: names[0]!, to: names[1]! },
      { from: names[1]!, to: names[0]! },
    ]);
  },
  'cut-one-way': (cluster, fault) => {
    const names = [pickEntry(cluster, fault).machine.name, pickAgent(cluster, fault).machine.name];
    const isForward = fault.target % 2 === 0;
    const [from, to] = isForward ? names : [names[1], names[0]];
    partitionNetwork(cluster, fault, names, [{ from: from!, to: to! }]);
  },
  'cut-zone': (cluster, fault) => {
    const { places } = cluster.deployment;
    const zone = places[fault.target % places.length]!.name;
    const others = places.map((place) => place.name).filter((name) => name !== zone);
    const partitions = others.flatMap((other) => [
      { from: zone, to: other },
      { from: other, to: zone },
    ]);
    partitionNetwork(cluster, fault, ['*'], partitions);
  },
  'cut-platform': (cluster, fault) => {
    const { name } = pickAgent(cluster, fault).machine;
    partitionNetwork(
      cluster,
      fault,
      [name],
      [
        { from: name, to: 'platform' },
        { from: 'platform', to: name },
      ],
    );
  },
  'delay-network': (cluster, fault) => {
    cluster.network.extraLatencyMs = EXTRA_NETWORK_LATENCY_MS;
    recordFault(cluster, fault, ['*']);
    undoAfterFault(cluster, fault, () => (cluster.network.extraLatencyMs = 0));
  },
  'platform-outage': (cluster, fault) => {
    cluster.platform.model.isDown = true;
    recordFault(cluster, fault, ['platform']);
    undoAfterFault(cluster, fault, () => (cluster.platform.model.isDown = false));
  },
  'platform-slow': (cluster, fault) => {
    const EXTRA_PLATFORM_LATENCY_MS = 1_500;
    cluster.platform.extraLatencyMs = EXTRA_PLATFORM_LATENCY_MS;
    recordFault(cluster, fault, ['platform']);
    undoAfterFault(cluster, fault, () => (cluster.platform.extraLatencyMs = 0));
  },
  'platform-lost-answers': (cluster, fault) => {
    cluster.platform.model.answersToLose += LOST_RESPONSES;
    recordFault(cluster, fault, ['platform']);
  },
  'list-lag': (cluster, fault) => {
    const normalLagMs = cluster.platform.listLagMs;
    cluster.platform.listLagMs = LONG_LIST_LAG_MS;
    recordFault(cluster, fault, ['list'], LONG_LIST_LAG_MS);
    undoAfterFault(cluster, fault, () => (cluster.platform.listLagMs = normalLagMs));
  },
  burst: (cluster, fault) => {
    cluster.callers.rateFactor = BURST_FACTOR;
    undoAfterFault(cluster, fault, () => (cluster.callers.rateFactor = 1));
  },
  'skewed-balancer': (cluster, fault) => {
    cluster.callers.pinnedEntry = pickEntry(cluster, fault);
    undoAfterFault(cluster, fault, () => (cluster.callers.pinnedEntry = undefined));
  },
  'leave-agent': (cluster, fault) =>
    shutDownAgent(cluster, fault, pickAgent(cluster, fault), 'signal'),
  'leave-by-list': (cluster, fault) =>
    shutDownAgent(cluster, fault, pickAgent(cluster, fault), 'list'),
  'leave-place': (cluster, fault) => {
    const { places } = cluster.deployment;
    const place = places[fault.target % places.length]!.name;
    for (const agent of cluster.agents.values()) {
      if (agent.machine.place === place) {
        shutDownAgent(cluster, fault, agent, 'signal');
      }
    }
  },
  'leave-entry': (cluster, fault) => {
    const entry = pickEntry(cluster, fault);
    if (!entry.isAlive || entry.isLeaving) {
      return;
    }
    recordShutdown(cluster, entry, 'signal');
    entry.shutDown();
    restartAfterExit(cluster, fault, entry);
  },
  'policy-change': (cluster, fault) => {
    cluster.operator.toggleDrained(pickAgent(cluster, fault).machine.name);
  },
  'operator-race': (cluster, fault) => {
    const names = [...cluster.agents.keys()];
    const other = names[(fault.target + 1) % names.length]!;
    cluster.operator.raceChanges(pickAgent(cluster, fault).machine.name, other);
  },
};

function pickAgent(cluster: SimCluster, fault: Fault): SimAgent {
  const agents = [...cluster.agents.values()];
  return agents[fault.target % agents.length]!;
}

function pickEntry(cluster: SimCluster, fault: Fault): SimEntry {
  return cluster.entries[fault.target % cluster.entries.length]!;
}

/** Records a fault for the checks, unless faults of its kind must not lose requests. */
function recordFault(
  cluster: SimCluster,
  fault: Fault,
  targets: readonly string[],
  extraDurationMs = 0,
): void {
  if (LOSSLESS_FAULT_KINDS.has(fault.kind)) {
    return;
  }
  const fromMs = cluster.clock.now();
  const untilMs = fromMs + fault.durationMs + extraDurationMs;
  cluster.observations.faults.push({ kind: fault.kind, targets, fromMs, untilMs });
}

function undoAfterFault(cluster: SimCluster, fault: Fault, undo: () => void): void {
  cluster.clock.setTimeout(undo, fault.durationMs);
}

function killAndRestart(cluster: SimCluster, fault: Fault, process: SimAgent | SimEntry): void {
  recordFault(cluster, fault, [process.machine.name]);
  process.kill();
  undoAfterFault(cluster, fault, () => {
    if (!process.isAlive) {
      cluster.restart(process);
    }
  });
}

function freezeProcess(cluster: SimCluster, fault: Fault, process: SimAgent | SimEntry): void {
  recordFault(cluster, fault, [process.machine.name]);
  process.freeze();
  undoAfterFault(cluster, fault, () => process.unfreeze());
}

function partitionNetwork(
  cluster: SimCluster,
  fault: Fault,
  targets: readonly string[],
  partitions: readonly NetworkPartition[],
): void {
  recordFault(cluster, fault, targets);
  for (const partition of partitions) {
    cluster.network.addPartition(partition);
  }
  undoAfterFault(cluster, fault, () => {
    for (const partition of partitions) {
      cluster.network.removePartition(partition);
    }
  });
}

/** Marks the agent as `leaving` in the machine list, and signals it if `trigger` is `signal`. */
function shutDownAgent(
  cluster: SimCluster,
  fault: Fault,
  agent: SimAgent,
  trigger: 'signal' | 'list',
): void {
  const { name } = agent.machine;
  if (!agent.isAlive || cluster.observations.findActiveShutdown(name) !== undefined) {
    return;
  }
  recordShutdown(cluster, agent, trigger);
  cluster.platform.setMachine({ ...agent.machine, state: 'leaving' });
  if (trigger === 'signal') {
    agent.shutDown();
  }
  restartAfterExit(cluster, fault, agent);
}

function recordShutdown(
  cluster: SimCluster,
  process: SimAgent | SimEntry,
  trigger: 'signal' | 'list',
): void {
  cluster.observations.shutdowns.push({
    process: process.machine.name,
    trigger,
    atMs: cluster.clock.now(),
    restartedAtMs: undefined,
  });
}

/**
 * Restarts the process, as the platform does when it replaces a machine, once its graceful shutdown
 * is complete; checks for this at intervals of the fault's duration.
 */
function restartAfterExit(cluster: SimCluster, fault: Fault, process: SimAgent | SimEntry): void {
  const startCount = process.startCount;
  undoAfterFault(cluster, fault, () => {
    if (process.startCount !== startCount) {
      return;
    }
    if (process.isAlive) {
      restartAfterExit(cluster, fault, process);
    } else {
      cluster.restart(process);
    }
  });
}
