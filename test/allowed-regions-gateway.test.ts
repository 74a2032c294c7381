import test from 'ava';
import { request } from 'undici';
import { createPlatformAdapter } from '../platform/adapter.js';
import { createEngineProbe } from '../platform/engine-probe.js';
import { SYSTEM_CLOCK } from '../src/clock.js';
import type { BackendSender } from '../src/gateway/attempt/attempt.js';
import { GatewayMetrics } from '../src/gateway/metrics/gateway-metrics.js';
import { GatewayRole } from '../src/gateway/gateway-role.js';
import { parseGatewaySettings } from '../src/gateway/gateway-settings.js';
import { SeededRandom } from '../src/random.js';
import { DecisionLog } from '../src/telemetry/decision-log.js';
import type { LogEvent, LogFields } from '../src/telemetry/decision-log.js';
import { FakeStore, FakeBackend } from './support/fake-platform.js';

const HOST = '127.0.3.9';
/** Ports of this file, on an address of its own, below the system's ephemeral range. */
let lastPort = 28_000;

function nextAddress(): string {
  lastPort += 1;
  return `${HOST}:${lastPort}`;
}

/** Records log entries in memory instead of writing them. */
class RecordingLog extends DecisionLog {
  readonly lines: Array<[LogEvent, LogFields]> = [];

  constructor() {
    super({ role: 'gateway', process: 'g', zone: 'b1' }, 0, SYSTEM_CLOCK);
  }

  override write(event: LogEvent, _priority: unknown, fields: LogFields = {}): void {
    this.lines.push([event, fields]);
  }

  lastFields(event: LogEvent): LogFields | undefined {
    return this.lines.filter(([name]) => name === event).at(-1)?.[1];
  }
}

/** A gateway in region b with a store, one backend in region a and one in region b. */
class Deployment {
  readonly store = new FakeStore();
  readonly log = new RecordingLog();
  readonly backendA = new FakeBackend('w-a', (_seen, response) => response.end('a'));
  readonly backendB = new FakeBackend('w-b', (_seen, response) => response.end('b'));
  private readonly callers = nextAddress();
  private gateway: GatewayRole | undefined;

  async start(configuration: object): Promise<void> {
    const [addressA, addressB] = [await this.backendA.start(), await this.backendB.start()];
    this.store.announce('w-a', { service: 's', address: addressA, slots: 2, zone: 'a1' });
    this.store.announce('w-b', { service: 's', address: addressB, slots: 2, zone: 'b1' });
    this.store.put('op/config', configuration);
    const storeAddress = await this.store.start();
    const settings = parseGatewaySettings(
      [
        '[process]\nrole = gateway\nname = g\nzone = b1\nregion = b',
        `address = ${HOST}`,
        '[places]\nzones = a1:a, b1:b',
        `[listen]\ncallers = ${this.callers}`,
        `readiness = ${nextAddress()}\npeers = ${nextAddress()}`,
        `[cluster]\nstore = ${storeAddress}\nstoreTimeoutMs = 300`,
      ].join('\n'),
    ).unwrap();
    this.gateway = new GatewayRole({
      settings,
      adapter: createPlatformAdapter(storeAddress, settings.cluster.storeTimeoutMs),
      createEngineProbe,
      clock: SYSTEM_CLOCK,
      random: new SeededRandom(1),
      log: this.log,
      metrics: new GatewayMetrics(),
    });
    this.gateway.start();
    await this.waitUntil(() => this.log.lastFields('backend-learned') !== undefined);
    await this.waitUntil(() => this.log.lastFields('configuration-installed') !== undefined);
  }

  /** The private sender of the gateway. */
  get sender(): BackendSender {
    return this.gateway!['sender'];
  }

  stop(): void {
    this.gateway?.stop(() => undefined);
    this.backendA.stop();
    this.backendB.stop();
    this.store.stop();
  }

  /** Sends a request; returns the status and body of the response. */
  async call(): Promise<[number, string]> {
    const response = await request(`http://${this.callers}/a/`, { headers: { host: 'h' } });
    return [response.statusCode, await response.body.text()];
  }

  async waitUntil(condition: () => boolean): Promise<void> {
    const endAtMs = Date.now() + 8_000;
    while (!condition()) {
      if (Date.now() > endAtMs) {
        throw new Error('condition not met within 8 s');
      }
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  }
}

function configurationOf(version: number, allowedRegions: unknown): object {
  const route = { name: 'r', host: 'h', pathPrefix: '/a/', kind: 'safe', service: 's' };
  return { version, routes: [{ ...route, allowedRegions }], services: [{ name: 's' }] };
}

test('configurations from the store replace and clear allowed regions; an invalid one changes nothing', async (t) => {
  const system = new Deployment();
  await system.start(configurationOf(1, ['a']));
  for (let count = 0; count < 4; count += 1) {
    t.deepEqual(await system.call(), [200, 'a']);
  }
  system.store.put('op/config', configurationOf(2, ['a', 'c']));
  await system.waitUntil(() => system.log.lastFields('configuration-refused') !== undefined);
  t.deepEqual(system.log.lastFields('configuration-refused'), {
    problem: 'routes.r.allowedRegions is "c"; allowed is a, b',
    key: 'routes.r.allowedRegions',
    found: '"c"',
    allowed: 'a, b',
    epoch: 0,
    revision: 4,
  });
  system.store.put('op/config', configurationOf(3, 'ab'));
  await system.waitUntil(() => system.log.lastFields('configuration-refused')?.['revision'] === 5);
  t.deepEqual(await system.call(), [200, 'a']);
  system.store.put('op/config', configurationOf(4, ['b']));
  await system.waitUntil(() => system.log.lastFields('configuration-installed')?.['version'] === 4);
  t.deepEqual(await system.call(), [200, 'b']);
  system.store.remove('servers/w-b');
  system.store.put('op/evacuate/b1', {});
  await system.waitUntil(() => system.log.lastFields('zone-evacuation') !== undefined);
  const startedAtMs = Date.now();
  t.deepEqual(await system.call(), [503, '{"error":"no-backend-at-home"}']);
  t.true(Date.now() - startedAtMs < 500);
  const ended = system.log.lastFields('request-ended');
  t.like(ended, { reason: 'no-backend-at-home', configuration: 4, homes: { route: ['b'] } });
  t.like(ended?.['kept'], {
    0: { backend: 'w-b', region: 'b', reason: 'zone-evacuated' },
    1: { backend: 'w-a', region: 'a', reason: 'outside-home', by: ['route'] },
  });
  system.store.put('op/config', configurationOf(5, []));
  await system.waitUntil(() => system.log.lastFields('configuration-installed')?.['version'] === 5);
  t.deepEqual(await system.call(), [200, 'a']);
  system.stop();
});

test('an unsent request is redirected when a new configuration changes its allowed regions', async (t) => {
  const system = new Deployment();
  await system.start(configurationOf(1, ['a']));
  const sender = system.sender;
  const send = sender.send.bind(sender);
  const ignore = () => undefined;
  const counts = { waiting: 0, withdrawn: 0 };
  sender.send = (attempt, handlers) => {
    if (attempt.backend.id !== 'w-a') {
      return send(attempt, handlers);
    }
    counts.waiting += 1;
    const withdraw = () => (counts.withdrawn += 1) > 0;
    const discardForeignResponse = ignore;
    return { cancel: ignore, discardForeignResponse, withdraw, pause: ignore, resume: ignore };
  };
  const response = system.call();
  await system.waitUntil(() => counts.waiting === 1);
  system.store.put('op/config', configurationOf(2, ['b']));
  t.deepEqual(await response, [200, 'b']);
  t.deepEqual(counts, { waiting: 1, withdrawn: 1 });
  system.stop();
});

test('a gateway without a configuration installs one with an unknown region and enforces it', async (t) => {
  const system = new Deployment();
  await system.start(configurationOf(1, ['c']));
  t.regex(String(system.log.lastFields('configuration-installed')?.['problem']), /allowed is a, b/);
  t.deepEqual(await system.call(), [503, '{"error":"no-backend-at-home"}']);
  t.deepEqual([system.backendA.received.length, system.backendB.received.length], [0, 0]);
  system.stop();
});
