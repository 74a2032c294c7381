import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import test from 'ava';
import { SYSTEM_CLOCK, sleep } from '../src/clock.js';
import { RecordExchange } from '../src/cluster/record-exchange.js';
import { ReplicatedRecords } from '../src/cluster/replicated-records.js';
import {
  DEFAULT_SLOT_AGENT_LINK_OPTIONS,
  SlotAgentLinks,
} from '../src/gateway/links/slot-agent-links.js';
import { onceArrivalsRead } from '../src/gateway/links/arrivals-read.js';
import { MessageChannel } from '../src/protocol/message-channel.js';
import type { AgentToGateway, GatewayToAgent } from '../src/slot-agent/slot-messages.js';
import { LoopbackProxy } from '../bench/soak/loopback-proxy.js';
import { backendOf, GatewayWorld } from './support/gateway.js';

const HOST = '127.0.5.1';
const SILENCE_MS = 150;
const PATIENCE_MS = 5_000;

/** An agent that the test lets beat, fall silent, complain of silence, or die. */
class FakeAgent {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly beats: NodeJS.Timeout;
  private channel: MessageChannel<AgentToGateway, GatewayToAgent> | undefined;
  isSilent = false;
  /** Messages heard that an agent counts: all about slots after the hello. */
  messagesSeen = 0;

  constructor(port: number) {
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      this.channel = new MessageChannel(socket, {
        onMessage: ({ kind }) => {
          this.messagesSeen += kind === 'hello' || kind === 'reach' ? 0 : 1;
        },
        onClose: () => undefined,
      });
    });
    this.server.listen(port, HOST);
    this.beats = setInterval(() => this.beat(), 20);
  }

  /** The process is gone: its connections are ended, its port is closed. */
  die(): void {
    clearInterval(this.beats);
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Says a word at once. */
  speak(): void {
    this.channel?.send({
      kind: 'state',
      occupied: 0,
      messagesSeen: 0,
      speed: {},
      failureShare: 0,
      availability: 'open',
    });
    this.channel?.flush();
  }

  private beat(): void {
    if (!this.isSilent) {
      this.speak();
    }
  }
}

/** A gateway's links to the agent of one engine, kept up by ticks of 10 ms. */
function startLinks(port: number, host = HOST) {
  const world = new GatewayWorld(backendOf('a', { address: `${host}:9` }));
  world.engines = true;
  const records = new ReplicatedRecords();
  const links = new SlotAgentLinks(
    'g',
    world.directory,
    () => world.dispatcher,
    records,
    new RecordExchange(
      records,
      { isStoreReachable: () => true, onNews: () => undefined },
      SYSTEM_CLOCK,
    ),
    () => true,
    () => undefined,
    () => undefined,
    SYSTEM_CLOCK,
    {
      ...DEFAULT_SLOT_AGENT_LINK_OPTIONS,
      port,
      peersAddress: '',
      zone: 'z',
      silenceMs: SILENCE_MS,
      aliveMs: 20,
      retryMinMs: 20,
    },
  );
  const maintain = (readUpToMs: number) => {
    links.maintain(readUpToMs);
    links.tellAlive();
  };
  const ticks = setInterval(() => onceArrivalsRead(SYSTEM_CLOCK, maintain), 10);
  const stop = () => {
    clearInterval(ticks);
    links.stop();
  };
  return { known: world.directory.find('a')!, stop };
}

/** Waits until something holds, for a machine that is busy; says whether it came to hold. */
async function holdsSoon(condition: () => boolean): Promise<boolean> {
  const untilMs = SYSTEM_CLOCK.now() + PATIENCE_MS;
  while (!condition() && SYSTEM_CLOCK.now() < untilMs) {
    await sleep(SYSTEM_CLOCK, 5);
  }
  return condition();
}

test('words that a gateway lives are counted like any other, so that no count seems to hold what was taken later', async (t) => {
  const agent = new FakeAgent(28_957);
  const { known, stop } = startLinks(28_957);
  t.teardown(() => {
    stop();
    agent.die();
  });
  t.true(await holdsSoon(() => known.agent !== undefined));
  known.outstanding = 1;
  t.true(await holdsSoon(() => agent.messagesSeen >= 3));
  t.true(known.agent!.messagesSent >= agent.messagesSeen);
});

test('an agent that falls silent makes its path doubtful, and its next word ends that', async (t) => {
  const agent = new FakeAgent(28_951);
  const { known, stop } = startLinks(28_951);
  t.true(await holdsSoon(() => known.path.heardAtMs !== undefined));
  agent.isSilent = true;
  t.true(await holdsSoon(() => known.path.isAgentSilent));
  agent.isSilent = false;
  t.true(await holdsSoon(() => !known.path.isAgentSilent));
  stop();
  agent.die();
});

test('an agent that died was heard to do so: its engine is used without it', async (t) => {
  const agent = new FakeAgent(28_952);
  const { known, stop } = startLinks(28_952);
  t.true(await holdsSoon(() => known.path.heardAtMs !== undefined));
  agent.die();
  t.true(await holdsSoon(() => known.agent === undefined));
  await sleep(SYSTEM_CLOCK, SILENCE_MS * 3);
  t.false(known.path.isAgentSilent);
  stop();
});

test('a path on which nothing comes back stays doubtful although connections come up, until it is whole', async (t) => {
  const agent = new FakeAgent(28_953);
  const proxy = new LoopbackProxy(HOST, 28_953);
  await proxy.start('127.0.5.2', 28_953);
  const { known, stop } = startLinks(28_953, '127.0.5.2');
  t.true(await holdsSoon(() => known.path.heardAtMs !== undefined));
  proxy.mood = 'cut-from-target';
  t.true(await holdsSoon(() => known.path.isAgentSilent));
  t.true(await holdsSoon(() => known.agent !== undefined));
  t.true(known.path.isAgentSilent);
  proxy.mood = 'passes';
  t.true(await holdsSoon(() => !known.path.isAgentSilent));
  stop();
  proxy.stop();
  agent.die();
});

test.serial(
  'time in which the gateway itself stood still does not count as silence of an agent',
  async (t) => {
    const agent = new FakeAgent(28_954);
    const { known, stop } = startLinks(28_954);
    t.true(await holdsSoon(() => known.path.heardAtMs !== undefined));
    agent.isSilent = true;
    let hasStoodStill = false;
    setImmediate(() => {
      agent.speak();
      const untilMs = SYSTEM_CLOCK.now() + SILENCE_MS * 1.2;
      while (SYSTEM_CLOCK.now() < untilMs) {
        // The agent's word lies unread meanwhile, and the next tick comes before it.
      }
      hasStoodStill = true;
    });
    t.true(await holdsSoon(() => hasStoodStill));
    await sleep(SYSTEM_CLOCK, SILENCE_MS / 3);
    t.false(known.path.isAgentSilent);
    t.not(known.agent, undefined);
    stop();
    agent.die();
  },
);
