/** Engines that restart with other software while the store is away, over real sockets. */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { FakeStore } from './support/fake-platform.js';
import { platformGateways } from './support/platform-gateway.js';
import type { RunningGateway } from './support/platform-gateway.js';
import { ENGINE_EVENTS, StreamingEngine } from './support/streaming-engine.js';

const HOST = '127.0.3.47';
const AGENT_PORT = 7_600;
const { start, untilReady } = platformGateways(HOST, 28_300);
let lastEnginePort = 28_400;
const STREAMS = 12;
/** Longer than the view of the store may be old before announcements are doubted. */
const LONG_OUTAGE_MS = 3_500;
const ROUTE = {
  name: 'r',
  host: 'h',
  pathPrefix: '/a/',
  kind: 'streaming',
  resumable: true,
  service: 's',
  timeoutMs: 4_000,
  targetLatencyMs: 500,
  gapAimMs: 500,
  maxAttempts: 2,
};

/** An agent that accepts connections and never says anything. */
class SilentAgent {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server = createServer((socket) => {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.resume();
  });

  listen(host: string): Promise<void> {
    return new Promise((resolve) => this.server.listen(AGENT_PORT, host, resolve));
  }

  stop(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}

interface Fleet {
  readonly store: FakeStore;
  readonly engines: readonly StreamingEngine[];
  readonly gateway: RunningGateway;
}

/** Starts a gateway and four engines of one version at `host`. */
async function startFleet(
  t: ExecutionContext,
  host: string,
  service: object = { engine: { stride: 1 } },
): Promise<Fleet> {
  const store = new FakeStore();
  const engines: StreamingEngine[] = [];
  for (const name of ['a', 'b', 'c', 'd']) {
    lastEnginePort += 1;
    const engine = new StreamingEngine(name, host, lastEnginePort, 'v1');
    await engine.start();
    const { address, bornAtMs: born } = engine;
    store.announce(name, { address, version: 'v1', slots: STREAMS, born });
    engines.push(engine);
  }
  store.put('op/config', {
    version: 1,
    routes: [ROUTE],
    services: [{ name: 's', maxConnections: 90, ...service }],
    tenants: [{ name: 'shop', apiKeys: ['key'] }],
  });
  const gateway = await start(`gateway-${host}`, await store.start());
  t.teardown(async () => {
    gateway.gateway.stop(() => undefined);
    store.stop();
    await Promise.all(engines.map((engine) => engine.end()));
  });
  await untilReady([gateway]);
  await sleep(300);
  return { store, engines, gateway };
}

/** A stream as its caller received it. */
interface ReceivedStream {
  readonly events: string[];
  isWhole: boolean;
}

/** Sends one request; the result fills up while its events arrive. */
function beginStream({ callers }: RunningGateway, id: string) {
  const stream: ReceivedStream = { events: [], isWhole: false };
  const read = async () => {
    const response = await request(`${callers}/a/x`, {
      headers: { host: 'h', authorization: 'Bearer key', 'x-weirvale-attempt-id': id },
    });
    for await (const bytes of response.body) {
      stream.events.push(
        ...[...String(bytes).matchAll(/data: (\S+)\n\n/g)].map(([, version]) => version!),
      );
    }
    stream.isWhole = true;
  };
  return { stream, ended: read().catch(() => undefined) };
}

function beginStreams(gateway: RunningGateway, name: string) {
  return Array.from({ length: STREAMS }, (_none, index) =>
    beginStream(gateway, `${name}-${index}`),
  );
}

/**
 * Plays the restart `outageMs` after the start of an outage of the store; returns the streams that
 * ran when the restarted engines ended.
 */
async function playRestart(fleet: Fleet, outageMs = 0): Promise<ReceivedStream[]> {
  const { store, engines, gateway } = fleet;
  await Promise.all(beginStreams(gateway, 'before').map(({ ended }) => ended));
  store.behavior = 'silent';
  await sleep(outageMs);
  const restarting = engines.slice(0, 2);
  await Promise.all(restarting.map((engine) => engine.end()));
  await sleep(50);
  for (const engine of restarting) {
    engine.version = 'v2';
    await engine.start();
  }
  const streams = beginStreams(gateway, 'after');
  const hasBegun = () => streams.every(({ stream }) => stream.events.length >= 2);
  for (let waitedMs = 0; !hasBegun() && waitedMs < 3_000; waitedMs += 20) {
    await sleep(20);
  }
  await Promise.all(restarting.map((engine) => engine.end()));
  await Promise.all(streams.map(({ ended }) => ended));
  return streams.map(({ stream }) => stream);
}

function checkVersions(t: ExecutionContext, streams: readonly ReceivedStream[]): void {
  const versionsOf = ({ events }: ReceivedStream) => [...new Set(events)];
  t.deepEqual(
    streams.filter((stream) => versionsOf(stream).length > 1),
    [],
  );
  t.true(streams.some((stream) => versionsOf(stream).includes('v2')));
  const announced = streams.filter((stream) => versionsOf(stream).includes('v1'));
  t.true(announced.length > 0);
  t.true(announced.every(({ events, isWhole }) => isWhole && events.length === ENGINE_EVENTS));
}

test('without agents, a stream of an engine that restarted unannounced does not go on at another version', async (t) => {
  const fleet = await startFleet(t, '127.0.3.48');
  checkVersions(t, await playRestart(fleet));
  t.true(fleet.engines.every(({ reports }) => reports > 0));
});

test('with agents that nobody hears, a stream of an engine that restarted unannounced does not go on at another version', async (t) => {
  const agent = new SilentAgent();
  await agent.listen('127.0.3.49');
  t.teardown(() => agent.stop());
  const fleet = await startFleet(t, '127.0.3.49');
  checkVersions(t, await playRestart(fleet));
});

test('a stream of a service without engines, restarted during a long outage, does not go on at another version', async (t) => {
  const fleet = await startFleet(t, '127.0.3.50', {});
  checkVersions(t, await playRestart(fleet, LONG_OUTAGE_MS));
});
