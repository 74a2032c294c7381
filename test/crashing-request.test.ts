/**
 * A request that crashes every back end that runs it.
 *
 * What users saw: engine after engine ended, each taking with it what others had asked of it, for as long as one
 * caller sent one request again. What happened, in order: the request reaches an engine, which ends a moment
 * later; its caller gets a failure and sends it again, under another id and through another gateway; that one
 * sends it to the next engine. The cause: a failure was held against the back end alone. Nothing was remembered of
 * the request, and nothing of it was told to other gateways.
 *
 * The evidence: in the lines of all gateways the tries in question had one tenant, route and size, one attempt each
 * (so no repeat of a gateway's own), and beside each stood the agent's word that nothing listens at the engine's
 * address any more; of the others that broke off there none stood beside two engines.
 */
import type { ServerResponse } from 'node:http';
import test from 'ava';
import { request } from 'undici';
import { fingerprintOf } from '../src/gateway/crashes/request-fingerprint.js';
import { StandinStore, StandinWorker } from './support/platform-standin.js';
import type { WorkerRequest } from './support/platform-standin.js';
import { platformGateways } from './support/platform-gateway.js';
import type { RunningGateway } from './support/platform-gateway.js';

const gateways = platformGateways('127.0.3.2', 28_000);
const CRASHING = 'what crashes';
const HARMLESS = 'what is harmless';
/** Times from the arrival of a request: until the back end ends, and until a harmless one is answered. */
const CRASH_AFTER_MS = 20;
const ANSWER_AFTER_MS = 30;
/** How long a back end that ended is away, and the pause between two sends of one caller. */
const AWAY_MS = 250;
const PAUSE_MS = 120;
const SENDS = 20;
/** Time in which a gateway has read what changed in the store, in which it gathers changes for a while. */
const SPREAD_MS = 500;
/** Users bear that many crashes before anything must be known of a request, and as many sends after them. */
const BORNE_CRASHES = 3;
const BORNE_SENDS_LATER = 3;

/** Back ends at fixed addresses that end when they run a request that crashes them, and start again. */
class CrashingFleet {
  readonly crashes: string[] = [];
  arrivals = 0;
  private lives = 0;
  private readonly workers = new Set<StandinWorker>();
  private isOver = false;

  constructor(private readonly store: StandinStore) {}

  async start(address?: string): Promise<void> {
    this.lives += 1;
    const id = `life-${this.lives}`;
    const worker: StandinWorker = new StandinWorker(id, (seen, response) =>
      this.run(worker, seen, response),
    );
    this.workers.add(worker);
    const listening = await worker.start(address);
    this.store.announce(id, { service: 's', address: listening, slots: 4 });
  }

  /** The back ends that are there now. */
  entries(): Array<{ id: string; address: string }> {
    return [...this.workers].map(({ id, address }) => ({ id, address }));
  }

  stop(): void {
    this.isOver = true;
    this.workers.forEach((worker) => worker.stop());
  }

  private run(worker: StandinWorker, { body }: WorkerRequest, response: ServerResponse): void {
    if (body !== CRASHING) {
      setTimeout(() => {
        response.writeHead(200, { 'X-Weirvale-Server-Seal': 'seal' });
        response.end('id: 1\ndata: good\n\n');
      }, ANSWER_AFTER_MS);
      return;
    }
    this.arrivals += 1;
    setTimeout(() => this.crash(worker), CRASH_AFTER_MS);
  }

  private crash(worker: StandinWorker): void {
    if (!this.workers.delete(worker)) {
      return;
    }
    this.crashes.push(worker.id);
    const { address } = worker;
    worker.crash();
    setTimeout(() => {
      this.store.remove(`servers/${worker.id}`);
      if (!this.isOver) {
        void this.start(address);
      }
    }, AWAY_MS);
  }
}

function configuration(kind: string): object {
  return {
    version: 1,
    routes: [
      {
        name: 'r',
        host: 'a.example',
        pathPrefix: '/a/',
        kind,
        timeoutMs: 2_000,
        targetLatencyMs: 500,
        maxAttempts: 2,
        service: 's',
      },
    ],
    services: [{ name: 's', maxConnections: 99 }],
  };
}

let lastId = 0;

async function send(gateway: RunningGateway, body: string): Promise<number> {
  return (await ask(gateway, body)).status;
}

async function ask(
  { callers }: RunningGateway,
  body: string,
): Promise<{ status: number; text: string }> {
  lastId += 1;
  const answer = await request(`${callers}/a/x`, {
    method: 'POST',
    body,
    headers: {
      host: 'a.example',
      'x-weirvale-attempt-id': `id-${lastId}`,
      'x-weirvale-deadline-ms': '1500',
    },
  });
  return { status: answer.statusCode, text: await answer.body.text() };
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Sends again and again, through all gateways in turn, from several callers. */
async function sendAll(
  all: readonly RunningGateway[],
  body: string,
  count: number,
): Promise<number[]> {
  const statuses: number[] = [];
  for (let index = 0; index < count; index += 1) {
    statuses.push(await send(all[index % all.length]!, body));
    await sleep(PAUSE_MS);
  }
  return statuses;
}

/** A store with a configuration and six back ends. */
async function startFleet(kind: string): Promise<{ store: StandinStore; fleet: CrashingFleet }> {
  const store = new StandinStore();
  const fleet = new CrashingFleet(store);
  store.put('op/config', configuration(kind));
  for (let index = 0; index < 6; index += 1) {
    await fleet.start();
  }
  return { store, fleet };
}

for (const kind of ['unsafe', 'safe', 'streaming']) {
  test(`a request that crashes each back end is kept from them after the third crash, ${kind}`, async (t) => {
    const { store, fleet } = await startFleet(kind);
    const address = await store.start();
    const first = await gateways.start('g-1', address);
    const all = [first, await gateways.start('g-2', address, [first.peers])];
    t.teardown(() => {
      all.forEach(({ gateway }) => gateway.stop(() => undefined));
      fleet.stop();
      store.stop();
    });
    await gateways.untilReady(all);
    const [crashing, harmless] = await Promise.all([
      sendAll(all, CRASHING, SENDS),
      sendAll(all, HARMLESS, SENDS),
    ]);
    const served = harmless.filter((status) => status === 200).length;
    t.log(`arrivals ${fleet.arrivals}, back ends ended ${fleet.crashes.length}, served ${served}`);
    t.true(fleet.arrivals >= BORNE_CRASHES);
    t.true(fleet.arrivals <= BORNE_CRASHES + BORNE_SENDS_LATER);
    // What is not run is told so.
    t.is(crashing.at(-1), 503);
    t.true(served >= SENDS - BORNE_CRASHES);
    t.is(await send(all[0]!, HARMLESS), 200);
  });
}

test('gateways that do not hear of each other learn of a crashing request from the store, also after all of them are gone', async (t) => {
  const { store, fleet } = await startFleet('unsafe');
  const address = await store.start();
  const alone = [await gateways.start('g-1', address), await gateways.start('g-2', address)];
  t.teardown(() => {
    fleet.stop();
    store.stop();
  });
  await gateways.untilReady(alone);
  const statuses = await sendAll(alone.slice(0, 1), CRASHING, 4);
  t.deepEqual(statuses, [502, 502, 502, 503]);
  t.deepEqual(await sendAll(alone.slice(1), CRASHING, 1), [503]);
  alone.forEach(({ gateway }) => gateway.stop(() => undefined));
  const next = await gateways.start('g-3', address);
  t.teardown(() => next.gateway.stop(() => undefined));
  await gateways.untilReady([next]);
  t.is(await send(next, CRASHING), 503);
  t.is(await send(next, HARMLESS), 200);
  t.is(fleet.arrivals, 3);
  store.remove('weirvale/crashing-requests');
  await sleep(PAUSE_MS);
  t.is(await send(next, CRASHING), 502, 'operators took back what was known');
});

test('a gateway that the store turns away, or that starts in the middle, learns of crashes from its peers', async (t) => {
  const { store, fleet } = await startFleet('unsafe');
  const darkStore = new StandinStore();
  darkStore.mood = 'refuses';
  const first = await gateways.start('g-1', await store.start());
  t.teardown(() => {
    fleet.stop();
    [store, darkStore].forEach((each) => each.stop());
  });
  await gateways.untilReady([first]);
  t.deepEqual(await sendAll([first], CRASHING, 1), [502]);
  const dark = await gateways.start('g-2', await darkStore.start(), [first.peers]);
  t.teardown(() => [first, dark].forEach(({ gateway }) => gateway.stop(() => undefined)));
  await gateways.untilReady([dark]);
  t.deepEqual(await sendAll([dark], CRASHING, 3), [502, 502, 503]);
  t.is(await send(first, CRASHING), 503);
  t.is(fleet.arrivals, 3);
});

test('a request that waits when it becomes known is answered at once', async (t) => {
  const store = new StandinStore();
  const worker = new StandinWorker('w-1', (_seen, response) => {
    setTimeout(() => response.end('good'), 1_200);
  });
  const services = [{ name: 's', maxConnections: 9, engine: { stride: 1 } }];
  store.put('op/config', { ...configuration('unsafe'), services });
  store.announce('w-1', { address: await worker.start(), slots: 1 });
  const gateway = await gateways.start('g-1', await store.start());
  t.teardown(() => {
    gateway.gateway.stop(() => undefined);
    worker.stop();
    store.stop();
  });
  await gateways.untilReady([gateway]);
  const running = send(gateway, HARMLESS);
  await sleep(SPREAD_MS);
  t.is(worker.received.length, 1);
  const startedAt = Date.now();
  const waiting = ask(gateway, CRASHING);
  await sleep(PAUSE_MS);
  const body = Buffer.from(CRASHING);
  const route = { host: 'a.example' };
  const fingerprint = fingerprintOf({
    tenant: undefined,
    method: 'POST',
    route,
    path: '/a/x',
    body,
  });
  const known = { fingerprint, crashes: 3, clearances: 0, changedAtMs: Date.now() };
  store.put('weirvale/crashing-requests', { requests: [known] });
  const { status, text } = await waiting;
  t.deepEqual([status, text], [503, '{"error":"crashes-back-ends"}']);
  t.true(Date.now() - startedAt < 600, 'the slot is free later, and its own time over after 1.5 s');
  t.is(await running, 200);
});

test('entries of other writers disturb nobody, and a back end that starts again under its id is used', async (t) => {
  const { store, fleet } = await startFleet('unsafe');
  const foreign: unknown[] = [7, null, [], {}, { service: 's', address: 'x', slots: 'many' }];
  foreign.forEach((value, index) =>
    store.put(`servers/${'amz'[index % 3]}-foreign-${index}`, value),
  );
  store.putBytes('servers/not-text', Buffer.from([0xff, 0xfe, 0x00]));
  const gateway = await gateways.start('g-1', await store.start());
  t.teardown(() => {
    gateway.gateway.stop(() => undefined);
    fleet.stop();
    store.stop();
  });
  await gateways.untilReady([gateway]);
  t.deepEqual(await sendAll([gateway], HARMLESS, 2), [200, 200]);
  foreign.forEach((value, index) => store.put(`servers/${'amz'[index % 3]}-later-${index}`, value));
  t.deepEqual(await sendAll([gateway], HARMLESS, 2), [200, 200]);
  // Every back end's own entry is overwritten, and back with its next heartbeat, now with a start.
  const entries = fleet.entries();
  entries.forEach(({ id }) => store.put(`servers/${id}`, { service: 7 }));
  // Sooner than back ends that have left are given up where no other is there: 1.5 s.
  await sleep(SPREAD_MS);
  t.is(await send(gateway, HARMLESS), 503);
  for (const born of [1_000, 2_000]) {
    entries.forEach(({ id, address }) => store.announce(id, { address, slots: 4, born }));
    await sleep(SPREAD_MS);
    t.deepEqual(await sendAll([gateway], HARMLESS, 2), [200, 200]);
  }
});
