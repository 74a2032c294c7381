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
import { MessageChannel } from '../src/protocol/message-channel.js';
import type { AgentToGateway, GatewayToAgent } from '../src/slot-agent/slot-messages.js';
import { backendOf, GatewayWorld } from './support/gateway.js';

const HOST = '127.0.5.1';
const SILENCE_MS = 150;

/** An agent that the test lets beat, fall silent, complain of silence, or die. */
class FakeAgent {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly beats: NodeJS.Timeout;
  private channel: MessageChannel<AgentToGateway, GatewayToAgent> | undefined;
  isSilent = false;

  constructor(port: number) {
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      this.channel = new MessageChannel(socket, {
        onMessage: () => undefined,
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

  private beat(): void {
    if (!this.isSilent) {
      this.channel?.send({
        kind: 'state',
        occupied: 0,
        messagesSeen: 0,
        speed: {},
        failureShare: 0,
        availability: 'open',
      });
    }
  }
}

/** A gateway's links to the agent of one engine, kept up by ticks of 10 ms. */
function startLinks(port: number) {
  const world = new GatewayWorld(backendOf('a', { address: `${HOST}:9` }));
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
    SYSTEM_CLOCK,
    {
      ...DEFAULT_SLOT_AGENT_LINK_OPTIONS,
      port,
      peersAddress: '',
      silenceMs: SILENCE_MS,
      retryMinMs: 20,
    },
  );
  const ticks = setInterval(() => links.maintain(), 10);
  const stop = () => {
    clearInterval(ticks);
    links.stop();
  };
  return { known: world.directory.find('a')!, stop };
}

test('an agent that falls silent makes its path doubtful, and its next word ends that', async (t) => {
  const agent = new FakeAgent(28_951);
  const { known, stop } = startLinks(28_951);
  await sleep(SYSTEM_CLOCK, 100);
  t.not(known.agent, undefined);
  agent.isSilent = true;
  const fellSilentAtMs = SYSTEM_CLOCK.now();
  while (!known.path.isAgentSilent && SYSTEM_CLOCK.now() - fellSilentAtMs < 1_000) {
    await sleep(SYSTEM_CLOCK, 5);
  }
  t.true(known.path.isAgentSilent);
  agent.isSilent = false;
  await sleep(SYSTEM_CLOCK, 200);
  t.false(known.path.isAgentSilent);
  stop();
  agent.die();
});

test('an agent that died was heard to do so: its engine is used without it', async (t) => {
  const agent = new FakeAgent(28_952);
  const { known, stop } = startLinks(28_952);
  await sleep(SYSTEM_CLOCK, 100);
  t.not(known.agent, undefined);
  agent.die();
  await sleep(SYSTEM_CLOCK, SILENCE_MS * 2);
  t.is(known.agent, undefined);
  t.false(known.path.isAgentSilent);
  t.true(known.path.silentMs(SYSTEM_CLOCK.now()) < SILENCE_MS);
  stop();
});
