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
import type { AgentConnectionState } from '../src/gateway/links/slot-agent-links.js';
import { afterPendingReads } from '../src/gateway/links/pending-reads.js';
import { MessageChannel } from '../src/protocol/message-channel.js';
import type { AgentToGateway, GatewayToAgent } from '../src/slot-agent/slot-messages.js';
import { LoopbackProxy } from '../bench/soak/loopback-proxy.js';
import { backendOf, GatewayHarness } from './support/gateway-harness.js';

const HOST = '127.0.5.1';
const SILENCE_MS = 150;
const WAIT_TIMEOUT_MS = 5_000;

/** A fake agent that sends periodic state messages until the test silences or stops it. */
class FakeAgent {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly stateTimer: NodeJS.Timeout;
  private channel: MessageChannel<AgentToGateway, GatewayToAgent> | undefined;
  isSilent = false;
  /** Number of received messages that an agent counts: all but `hello` and `reach`. */
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
    this.stateTimer = setInterval(() => this.sendStateUnlessSilent(), 20);
  }

  /** Simulates a crash: destroys its connections and closes its port. */
  crash(): void {
    clearInterval(this.stateTimer);
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Sends a state message at once. */
  sendState(): void {
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

  private sendStateUnlessSilent(): void {
    if (!this.isSilent) {
      this.sendState();
    }
  }
}

/** Starts a gateway's links to the agent of one engine, maintained in ticks of 10 ms. */
function startLinks(port: number, host = HOST) {
  const world = new GatewayHarness(backendOf('a', { address: `${host}:9` }));
  world.engines = true;
  const records = new ReplicatedRecords();
  const states: AgentConnectionState[] = [];
  const links = new SlotAgentLinks(
    'g',
    world.directory,
    () => world.dispatcher,
    records,
    new RecordExchange(
      records,
      { isStoreReachable: () => true, onApplied: () => undefined },
      SYSTEM_CLOCK,
    ),
    () => true,
    () => undefined,
    (_backendId, state) => void states.push(state),
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
    links.sendKeepalives();
  };
  const ticks = setInterval(() => afterPendingReads(SYSTEM_CLOCK, maintain), 10);
  const stop = () => {
    clearInterval(ticks);
    links.stop();
  };
  return { known: world.directory.find('a')!, states, stop };
}

/** Polls until `condition` holds, with a timeout for a busy machine; returns whether it holds. */
async function waitFor(condition: () => boolean): Promise<boolean> {
  const untilMs = SYSTEM_CLOCK.now() + WAIT_TIMEOUT_MS;
  while (!condition() && SYSTEM_CLOCK.now() < untilMs) {
    await sleep(SYSTEM_CLOCK, 5);
  }
  return condition();
}

test('keepalives count as sent messages: a state report must not appear to include slots taken after it', async (t) => {
  const agent = new FakeAgent(28_957);
  const { known, stop } = startLinks(28_957);
  t.teardown(() => {
    stop();
    agent.crash();
  });
  t.true(await waitFor(() => known.agent !== undefined));
  known.outstanding = 1;
  t.true(await waitFor(() => agent.messagesSeen >= 3));
  t.true(known.agent!.messagesSent >= agent.messagesSeen);
});

test('the path of a silent agent is marked silent until its next message', async (t) => {
  const agent = new FakeAgent(28_951);
  const { known, stop } = startLinks(28_951);
  t.true(await waitFor(() => known.path.heardAtMs !== undefined));
  agent.isSilent = true;
  t.true(await waitFor(() => known.path.isAgentSilent));
  agent.isSilent = false;
  t.true(await waitFor(() => !known.path.isAgentSilent));
  stop();
  agent.crash();
});

test('a crashed agent whose host closes the connection does not mark the path silent', async (t) => {
  const agent = new FakeAgent(28_952);
  const { known, stop } = startLinks(28_952);
  t.true(await waitFor(() => known.path.heardAtMs !== undefined));
  agent.crash();
  t.true(await waitFor(() => known.agent === undefined));
  await sleep(SYSTEM_CLOCK, SILENCE_MS * 3);
  t.false(known.path.isAgentSilent);
  stop();
});

test('a path without return traffic stays marked silent across reconnects until it recovers', async (t) => {
  const agent = new FakeAgent(28_953);
  const proxy = new LoopbackProxy(HOST, 28_953);
  await proxy.start('127.0.5.2', 28_953);
  const { known, stop } = startLinks(28_953, '127.0.5.2');
  t.true(await waitFor(() => known.path.heardAtMs !== undefined));
  proxy.behavior = 'cut-from-target';
  t.true(await waitFor(() => known.path.isAgentSilent));
  t.true(await waitFor(() => known.agent !== undefined));
  t.true(known.path.isAgentSilent);
  proxy.behavior = 'passes';
  t.true(await waitFor(() => !known.path.isAgentSilent));
  stop();
  proxy.stop();
  agent.crash();
});

test.serial(
  'time during which the gateway itself was stalled does not count as silence of an agent',
  async (t) => {
    const agent = new FakeAgent(28_954);
    const { known, stop } = startLinks(28_954);
    t.true(await waitFor(() => known.path.heardAtMs !== undefined));
    agent.isSilent = true;
    let hasStalled = false;
    setImmediate(() => {
      agent.sendState();
      const untilMs = SYSTEM_CLOCK.now() + SILENCE_MS * 1.2;
      while (SYSTEM_CLOCK.now() < untilMs) {
        // Blocks the event loop: the agent's message stays unread, and the next tick runs before it
        // is read.
      }
      hasStalled = true;
    });
    t.true(await waitFor(() => hasStalled));
    await sleep(SYSTEM_CLOCK, SILENCE_MS / 3);
    t.false(known.path.isAgentSilent);
    t.not(known.agent, undefined);
    stop();
    agent.crash();
  },
);

test('an agent that cannot be reached is reported once, until it is connected', async (t) => {
  const { states, stop } = startLinks(28_958);
  t.teardown(stop);
  t.true(await waitFor(() => states.length > 0));
  await sleep(SYSTEM_CLOCK, 150);
  t.deepEqual(states, ['unreachable']);
  const agent = new FakeAgent(28_958);
  t.teardown(() => agent.crash());
  t.true(await waitFor(() => states.length > 1));
  t.deepEqual(states, ['unreachable', 'connected']);
});
