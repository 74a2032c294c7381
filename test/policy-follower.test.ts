import test from 'ava';
import type { Machine } from '../src/membership/machine.js';
import { DEFAULT_FOLLOWER_OPTIONS, PolicyFollower } from '../src/policy/follower.js';
import { PolicyReplica } from '../src/policy/replica.js';
import { POLICY_HEAD_KEY, changePolicy } from '../src/policy/store.js';
import { diffPolicies } from '../src/policy/change.js';
import { SeededRandom } from '../src/random.js';
import { SimNetwork } from '../src/sim/sim-network.js';
import { SimKeyValueClient, SimPlatform } from '../src/sim/sim-platform.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';
import { DEFAULT_KEY_VALUE_LIMITS } from '../src/standin/key-value-model.js';
import { smallPolicy } from './support/policy.js';

const SELF: Machine = {
  name: 'a-1',
  role: 'agent',
  region: 'r',
  zone: 'z',
  place: 'hall-a',
  address: 'a',
  port: 1,
  state: 'live',
};

test('a process that becomes a reader gets a change before its poll interval ends', async (t) => {
  const clock = new VirtualClock();
  const random = new SeededRandom(1);
  const network = new SimNetwork(clock, random, { localMs: 1, remoteMs: 1 });
  const platform = new SimPlatform(clock, network, DEFAULT_KEY_VALUE_LIMITS, 0);
  const caller = { address: SELF, deliver: (callback: () => void) => callback() };
  const client = new SimKeyValueClient(platform, caller, 1_000);
  const put = (changeId: string, from: object, to: object) =>
    changePolicy(client, {
      changeId,
      author: 'test',
      atMs: 0,
      summary: '',
      edits: diffPolicies(from as never, to as never),
      baseDocument: from as never,
    });
  void put('first', {}, smallPolicy());
  await clock.runUntil(500);
  t.truthy(platform.model.get(POLICY_HEAD_KEY));

  const replica = new PolicyReplica();
  const follower = new PolicyFollower({
    client,
    clock,
    random,
    identity: { ...SELF, incarnation: 'a-1.1' },
    options: DEFAULT_FOLLOWER_OPTIONS,
    currentGeneration: () => replica.generation,
    onUpdate: (update) => replica.install(update),
  });
  follower.start();
  await clock.runUntil(1_000);
  t.is(replica.generation, 1);
  follower.setMachines([SELF]);
  await clock.runUntil(1_500);
  void put('second', smallPolicy(), {
    ...smallPolicy(),
    'place.hall-c': { kind: 'place', labels: {} },
  });
  await clock.runUntil(2_500);
  t.is(replica.generation, 2);
});
