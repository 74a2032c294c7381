/** Brings about the faults of a schedule. */
import type { Fault, FaultKind } from './fault.js';
import type { NetworkCut } from './sim-network.js';
import type { SimAgent } from './sim-agent.js';
import type { SimEntry } from './sim-entry.js';
import type { World } from './world.js';

type Injector = (world: World, fault: Fault) => void;

const BURST_FACTOR = 5;
const SLOW_FACTOR = 3;
const EXTRA_DELAY_MS = 40;
const LOST_ANSWERS = 2;
const LONG_LIST_LAG_MS = 10_000;

/** Faults that can lose no request: what is lost under them alone is a fault of weirvale. */
const HARMLESS_KINDS: ReadonlySet<FaultKind> = new Set<FaultKind>([
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

/** Schedules every fault of a run. */
export function scheduleFaults(world: World, faults: readonly Fault[]): void {
  for (const fault of faults) {
    world.clock.setTimeout(() => {
      world.observations.log(world.clock.now(), `fault ${fault.kind} ${fault.target}`);
      INJECTORS[fault.kind](world, fault);
    }, fault.atMs);
  }
}

const INJECTORS: Readonly<Record<FaultKind, Injector>> = {
  'kill-agent': (world, fault) => killAndRestart(world, fault, pickAgent(world, fault)),
  'kill-entry': (world, fault) => killAndRestart(world, fault, pickEntry(world, fault)),
  'freeze-agent': (world, fault) => freeze(world, fault, pickAgent(world, fault)),
  'freeze-entry': (world, fault) => freeze(world, fault, pickEntry(world, fault)),
  'crash-engine': (world, fault) => {
    const agent = pickAgent(world, fault);
    note(world, fault, [agent.machine.name]);
    agent.backend.crash(fault.durationMs);
  },
  'slow-engine': (world, fault) => {
    const { engine } = pickAgent(world, fault).backend;
    if (engine !== undefined) {
      engine.slowFactor = SLOW_FACTOR;
      afterwards(world, fault, () => (engine.slowFactor = 1));
    }
  },
  'cut-pair': (world, fault) => {
    const names = [pickEntry(world, fault).machine.name, pickAgent(world, fault).machine.name];
    cut(world, fault, names, [
      { from: names[0]!, to: names[1]! },
      { from: names[1]!, to: names[0]! },
    ]);
  },
  'cut-one-way': (world, fault) => {
    const names = [pickEntry(world, fault).machine.name, pickAgent(world, fault).machine.name];
    const isForward = fault.target % 2 === 0;
    const [from, to] = isForward ? names : [names[1], names[0]];
    cut(world, fault, names, [{ from: from!, to: to! }]);
  },
  'cut-zone': (world, fault) => {
    const { places } = world.deployment;
    const zone = places[fault.target % places.length]!.name;
    const others = places.map((place) => place.name).filter((name) => name !== zone);
    const cuts = others.flatMap((other) => [
      { from: zone, to: other },
      { from: other, to: zone },
    ]);
    cut(world, fault, ['*'], cuts);
  },
  'cut-platform': (world, fault) => {
    const { name } = pickAgent(world, fault).machine;
    cut(
      world,
      fault,
      [name],
      [
        { from: name, to: 'platform' },
        { from: 'platform', to: name },
      ],
    );
  },
  'delay-network': (world, fault) => {
    world.network.extraDelayMs = EXTRA_DELAY_MS;
    note(world, fault, ['*']);
    afterwards(world, fault, () => (world.network.extraDelayMs = 0));
  },
  'platform-outage': (world, fault) => {
    world.platform.model.isDown = true;
    note(world, fault, ['platform']);
    afterwards(world, fault, () => (world.platform.model.isDown = false));
  },
  'platform-slow': (world, fault) => {
    const SLOW_MS = 1_500;
    world.platform.slowMs = SLOW_MS;
    note(world, fault, ['platform']);
    afterwards(world, fault, () => (world.platform.slowMs = 0));
  },
  'platform-lost-answers': (world, fault) => {
    world.platform.model.answersToLose += LOST_ANSWERS;
    note(world, fault, ['platform']);
  },
  'list-lag': (world, fault) => {
    const usualMs = world.platform.listLagMs;
    world.platform.listLagMs = LONG_LIST_LAG_MS;
    note(world, fault, ['list'], LONG_LIST_LAG_MS);
    afterwards(world, fault, () => (world.platform.listLagMs = usualMs));
  },
  burst: (world, fault) => {
    world.callers.rateFactor = BURST_FACTOR;
    afterwards(world, fault, () => (world.callers.rateFactor = 1));
  },
  'skewed-balancer': (world, fault) => {
    world.callers.onlyEntry = pickEntry(world, fault);
    afterwards(world, fault, () => (world.callers.onlyEntry = undefined));
  },
  'leave-agent': (world, fault) => leaveAgent(world, fault, pickAgent(world, fault), 'signal'),
  'leave-by-list': (world, fault) => leaveAgent(world, fault, pickAgent(world, fault), 'list'),
  'leave-place': (world, fault) => {
    const { places } = world.deployment;
    const place = places[fault.target % places.length]!.name;
    for (const agent of world.agents.values()) {
      if (agent.machine.place === place) {
        leaveAgent(world, fault, agent, 'signal');
      }
    }
  },
  'leave-entry': (world, fault) => {
    const entry = pickEntry(world, fault);
    if (!entry.isAlive || entry.isLeaving) {
      return;
    }
    noteLeave(world, entry, 'signal');
    entry.leave();
    restartOnceEnded(world, fault, entry);
  },
  'policy-change': (world, fault) => {
    world.operator.toggleEngine(pickAgent(world, fault).machine.name);
  },
  'operator-race': (world, fault) => {
    const names = [...world.agents.keys()];
    const other = names[(fault.target + 1) % names.length]!;
    world.operator.race(pickAgent(world, fault).machine.name, other);
  },
};

function pickAgent(world: World, fault: Fault): SimAgent {
  const agents = [...world.agents.values()];
  return agents[fault.target % agents.length]!;
}

function pickEntry(world: World, fault: Fault): SimEntry {
  return world.entries[fault.target % world.entries.length]!;
}

function note(world: World, fault: Fault, targets: readonly string[], extraMs = 0): void {
  if (HARMLESS_KINDS.has(fault.kind)) {
    return;
  }
  const fromMs = world.clock.now();
  const untilMs = fromMs + fault.durationMs + extraMs;
  world.observations.faults.push({ kind: fault.kind, targets, fromMs, untilMs });
}

function afterwards(world: World, fault: Fault, undo: () => void): void {
  world.clock.setTimeout(undo, fault.durationMs);
}

function killAndRestart(world: World, fault: Fault, process: SimAgent | SimEntry): void {
  note(world, fault, [process.machine.name]);
  process.kill();
  afterwards(world, fault, () => {
    if (!process.isAlive) {
      world.restart(process);
    }
  });
}

function freeze(world: World, fault: Fault, process: SimAgent | SimEntry): void {
  note(world, fault, [process.machine.name]);
  process.freeze();
  afterwards(world, fault, () => process.unfreeze());
}

function cut(
  world: World,
  fault: Fault,
  targets: readonly string[],
  cuts: readonly NetworkCut[],
): void {
  note(world, fault, targets);
  for (const one of cuts) {
    world.network.cut(one);
  }
  afterwards(world, fault, () => {
    for (const one of cuts) {
      world.network.heal(one);
    }
  });
}

function leaveAgent(world: World, fault: Fault, agent: SimAgent, by: 'signal' | 'list'): void {
  const { name } = agent.machine;
  if (!agent.isAlive || world.observations.currentLeave(name) !== undefined) {
    return;
  }
  noteLeave(world, agent, by);
  world.platform.setMachine({ ...agent.machine, state: 'leaving' });
  if (by === 'signal') {
    agent.leave();
  }
  restartOnceEnded(world, fault, agent);
}

function noteLeave(world: World, process: SimAgent | SimEntry, by: 'signal' | 'list'): void {
  world.observations.leaves.push({
    process: process.machine.name,
    by,
    atMs: world.clock.now(),
    restartedAtMs: undefined,
  });
}

/** The machine is replaced once its process has left in good order. */
function restartOnceEnded(world: World, fault: Fault, process: SimAgent | SimEntry): void {
  const startCount = process.startCount;
  afterwards(world, fault, () => {
    if (process.startCount !== startCount) {
      return;
    }
    if (process.isAlive) {
      restartOnceEnded(world, fault, process);
    } else {
      world.restart(process);
    }
  });
}
