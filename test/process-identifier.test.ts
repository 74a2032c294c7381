import test from 'ava';
import { ProcessIdentifier } from '../src/gateway/processes/process-identifier.js';
import type { IdentifiedProcess } from '../src/gateway/processes/process-identifier.js';
import type { ProcessAnswer } from '../src/processes/process-query.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { backendOf } from './support/gateway-harness.js';

const ADDRESS = '10.0.0.1:9';
const BACKEND = backendOf('a', { address: ADDRESS, bornAtMs: 1 });

/** An identifier whose agent and engine answer when the test lets them. */
class Scene {
  readonly clock = new VirtualClock();
  readonly agentQueries: Array<(answer: ProcessAnswer) => void> = [];
  readonly engineReads: Array<(bornAtMs: number | undefined) => void> = [];
  readonly results: Array<IdentifiedProcess | undefined> = [];
  isAgentConnected = true;
  readonly identifier = new ProcessIdentifier({
    askAgent: (_backendId, onAnswer) => {
      this.agentQueries.push(onAnswer);
      return this.isAgentConnected;
    },
    readStartTime: () => new Promise((resolve) => this.engineReads.push(resolve)),
    onResult: (_backend, process) => void this.results.push(process),
    clock: this.clock,
  });

  /** The agent's answer to its query at `index`. */
  answerAgent(index: number, bornAtMs: number | undefined, address = ADDRESS): void {
    this.agentQueries[index]!({ kind: 'process-answer', id: index, address, bornAtMs });
  }
}

test('the agent beside the engine is believed, and the engine is not asked', async (t) => {
  const scene = new Scene();
  const result = scene.identifier.identify(BACKEND);
  scene.answerAgent(0, 5);
  t.deepEqual(await result, { bornAtMs: 5, source: 'agent' });
  t.is(scene.engineReads.length, 0);
  t.deepEqual(scene.results, [{ bornAtMs: 5, source: 'agent' }]);
});

test('without an agent the engine itself is asked', async (t) => {
  const scene = new Scene();
  scene.isAgentConnected = false;
  const result = scene.identifier.identify(BACKEND);
  await Promise.resolve();
  await Promise.resolve();
  scene.engineReads[0]!(6);
  t.deepEqual(await result, { bornAtMs: 6, source: 'engine' });
});

test('an agent that does not answer in time is passed over', async (t) => {
  const scene = new Scene();
  const result = scene.identifier.identify(BACKEND);
  await scene.clock.runUntil(149);
  t.is(scene.engineReads.length, 0);
  await scene.clock.runUntil(151);
  scene.engineReads[0]!(6);
  t.deepEqual(await result, { bornAtMs: 6, source: 'engine' });
});

for (const [reason, bornAtMs, address] of [
  ['knows no process', undefined, ADDRESS],
  ['probes an engine at another address', 5, '10.0.0.1:10'],
  ['sends a start time that is none', 'x' as unknown as number, ADDRESS],
] as const) {
  test(`an agent that ${reason} is passed over`, async (t) => {
    const scene = new Scene();
    const result = scene.identifier.identify(BACKEND);
    scene.answerAgent(0, bornAtMs, address);
    await scene.clock.runUntil(1);
    scene.engineReads[0]!(undefined);
    t.is(await result, undefined);
    t.deepEqual(scene.results, [undefined]);
  });
}

test('a query in progress does not answer for a connection that was established after it began', async (t) => {
  const scene = new Scene();
  const first = scene.identifier.identify(BACKEND);
  const second = scene.identifier.identify(BACKEND);
  const third = scene.identifier.identify(BACKEND);
  scene.answerAgent(0, 5);
  t.is((await first)?.bornAtMs, 5);
  await scene.clock.runUntil(1);
  t.is(scene.agentQueries.length, 2);
  scene.answerAgent(1, 6);
  t.deepEqual([(await second)?.bornAtMs, (await third)?.bornAtMs], [6, 6]);
  const fourth = scene.identifier.identify(BACKEND);
  scene.answerAgent(2, 7);
  t.is((await fourth)?.bornAtMs, 7);
});
