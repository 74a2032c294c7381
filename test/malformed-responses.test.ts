import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { FakeStore } from './support/fake-platform.js';
import { isDoneWithinTurns } from './support/loop-turns.js';
import { platformGateways } from './support/platform-gateway.js';
import type { RunningGateway } from './support/platform-gateway.js';
import { chunk, RawBackend, streamHead, wholeResponse } from './support/raw-backend.js';
import type { Respond } from './support/raw-backend.js';

const HOST = '127.0.3.51';
/** Ports below the ephemeral range, on an address that only this file uses, to avoid conflicts. */
const { start: startGateway, untilReady } = platformGateways(HOST, 28_000);
const DEADLINE_MS = 1_500;
/** Requests within which one is sent to the faulty backend first. */
const CALLS_UNTIL_RESUMED = 20;
const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'];

const ROUTE = {
  host: 'a.example',
  timeoutMs: 4_000,
  targetLatencyMs: 500,
  maxAttempts: 2,
};
const CONFIGURATION = {
  version: 1,
  routes: [
    {
      ...ROUTE,
      name: 'faulty',
      pathPrefix: '/faulty/',
      kind: 'unsafe',
      service: 'faulty',
    },
    { ...ROUTE, name: 'pair', pathPrefix: '/pair/', kind: 'unsafe', service: 'pair' },
    {
      ...ROUTE,
      name: 'sound',
      pathPrefix: '/sound/',
      kind: 'unsafe',
      service: 'sound',
    },
    {
      ...ROUTE,
      name: 'stream',
      pathPrefix: '/stream/',
      kind: 'streaming',
      resumable: true,
      maxAttempts: 4,
      service: 'faulty',
    },
  ],
  services: ['faulty', 'pair', 'sound'].map((name) => ({ name, maxConnections: 50 })),
};

let lastId = 0;

interface Answer {
  readonly id: string;
  readonly status: number;
  readonly body: string;
  readonly tookMs: number;
}

async function call({ callers }: RunningGateway, path: string): Promise<Answer> {
  lastId += 1;
  const id = `id-${lastId}`;
  const startedAtMs = performance.now();
  const response = await request(`${callers}${path}`, {
    method: 'POST',
    body: 'the body',
    headers: {
      host: 'a.example',
      'x-weirvale-attempt-id': id,
      'x-weirvale-deadline-ms': `${DEADLINE_MS}`,
    },
  });
  const body = await response.body.text().catch(() => '(broken off)');
  return {
    id,
    status: response.statusCode,
    body,
    tookMs: performance.now() - startedAtMs,
  };
}

function serve(body: string): Respond {
  return ({ id }, socket) => void socket.write(wholeResponse(id, body));
}

/** Starts a gateway in front of a sound service and a faulty backend. */
async function startWith(t: ExecutionContext, respond: Respond) {
  const store = new FakeStore();
  const faulty = new RawBackend(respond);
  const sound = new RawBackend(serve('good'));
  const [faultyAddress, soundAddress] = [await faulty.start(), await sound.start()];
  store.put('op/config', CONFIGURATION);
  const announce = (service: string, id: string, address: string) =>
    store.announce(id, { service, address, slots: 20 });
  announce('faulty', 'w-faulty', faultyAddress);
  announce('sound', 'w-sound', soundAddress);
  const gateway = await startGateway('g', await store.start());
  await untilReady([gateway]);
  t.teardown(() => {
    gateway.gateway.stop(() => undefined);
    [faulty, sound].forEach((backend) => backend.stop());
    store.stop();
  });
  return { gateway, faulty, sound, store, announce };
}

test('a status below 100 ends the request that got it, and not the gateway', async (t) => {
  const { gateway } = await startWith(t, ({ id }, socket) => {
    socket.write(wholeResponse(id, 'bad', '000 OK'));
  });
  const sound = [call(gateway, '/sound/'), call(gateway, '/sound/')];
  t.is((await call(gateway, '/faulty/')).status, 502);
  t.deepEqual(
    (await Promise.all(sound)).map(({ status }) => status),
    [200, 200],
  );
  t.is((await call(gateway, '/sound/')).body, 'good');
});

test('a status that HTTP does not define is not passed on', async (t) => {
  const { gateway } = await startWith(t, ({ id }, socket) => {
    socket.write(wholeResponse(id, 'bad', '799 Odd'));
  });
  t.is((await call(gateway, '/faulty/')).status, 502);
});

for (const [name, head] of [
  ['without an upgrade', 'HTTP/1.1 101 Switching Protocols\r\n'],
  ['with an upgrade', 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n'],
] as const) {
  test(`a 101 ${name} ends the attempt at once instead of at the deadline`, async (t) => {
    const { gateway } = await startWith(t, ({ id }, socket) => {
      socket.write(`${head}X-Weirvale-Attempt-Id: ${id}\r\n\r\n`);
    });
    const { status, tookMs } = await call(gateway, '/faulty/');
    t.is(status, 502);
    t.true(tookMs < DEADLINE_MS / 2);
  });
}

test('an interim response does not replace the final one', async (t) => {
  const { gateway } = await startWith(t, ({ id }, socket) => {
    socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${wholeResponse(id, 'whole')}`);
  });
  const { status, body } = await call(gateway, '/faulty/');
  t.deepEqual([status, body], [200, 'whole']);
});

for (const [name, spoiltId] of [
  ['with a control character', '\x12'],
  ['of excessive length', '2'.repeat(10_000)],
  ['that is empty', ''],
] as const) {
  test(`an event id ${name} ends the attempt, and the stream resumes after the last sound event`, async (t) => {
    const resumedAfter: Array<string | undefined> = [];
    const { gateway, announce, sound } = await startWith(t, ({ id }, socket) => {
      socket.write(streamHead(id));
      socket.write(chunk(EVENTS[0]!));
      socket.write(chunk(`id: ${spoiltId}\ndata: spoilt\n\n`));
      setTimeout(() => socket.destroy(), 20);
    });
    const continuing = new RawBackend(({ id, lastEventId }, socket) => {
      resumedAfter.push(lastEventId);
      socket.write(streamHead(id));
      EVENTS.slice(Number(lastEventId ?? 0)).forEach((event) => socket.write(chunk(event)));
      socket.write(chunk(''));
    });
    t.teardown(() => continuing.stop());
    announce('faulty', 'w-continuing', await continuing.start());
    const answers = [];
    for (let count = 0; count < CALLS_UNTIL_RESUMED && !resumedAfter.includes('1'); count += 1) {
      answers.push(await call(gateway, '/stream/'));
    }
    t.is(resumedAfter.at(-1), '1');
    t.deepEqual([answers.at(-1)!.status, answers.at(-1)!.body], [200, EVENTS.join('')]);
    t.true(answers.every(({ body }) => !body.includes('spoilt')));
    t.is((await call(gateway, '/sound/')).status, 200);
    t.is(sound.receivedIds.length, 1);
  });
}

const ANSWER_DELAY_MS = 15;
const PAIR_CALLS = 40;
/** Turns of the event loop of gateway and backend within which a spoilt connection is closed. */
const TURNS_UNTIL_CLOSED = 50;
/** Pairs of requests within which the gateway knows both backends. */
const CALLS_UNTIL_KNOWN = 100;

/**
 * Starts two backends of one service; on each reused connection one of them sends `surplus` as the
 * next request arrives, up to `times` times, and its response after that.
 */
async function startPair(t: ExecutionContext, surplus: string, times = Infinity) {
  const world = await startWith(t, serve('unused'));
  let isSpoiling = false;
  let sent = 0;
  let newConnections = 0;
  const spoilt = new RawBackend(({ id, earlierOnConnection }, socket) => {
    newConnections += earlierOnConnection === 0 ? 1 : 0;
    if (isSpoiling && earlierOnConnection > 0 && sent < times) {
      sent += 1;
      socket.write(surplus);
    }
    setTimeout(() => socket.write(wholeResponse(id, `answer to ${id}`)), ANSWER_DELAY_MS);
  });
  const other = new RawBackend(({ id }, socket) => {
    setTimeout(() => socket.write(wholeResponse(id, `answer to ${id}`)), ANSWER_DELAY_MS);
  });
  t.teardown(() => [spoilt, other].forEach((backend) => backend.stop()));
  // With one slot each, two requests at a time use both.
  const fields = { service: 'pair', slots: 1 };
  world.store.announce('w-spoilt', { ...fields, address: await spoilt.start() });
  world.store.announce('w-other', { ...fields, address: await other.start() });
  for (let count = 0; count < CALLS_UNTIL_KNOWN; count += 1) {
    await Promise.all([call(world.gateway, '/pair/'), call(world.gateway, '/pair/')]);
    if (spoilt.receivedIds.length > 0 && other.receivedIds.length > 0) {
      break;
    }
    await new Promise((resolve) => setTimeout(resolve, ANSWER_DELAY_MS));
  }
  isSpoiling = true;
  return { ...world, spoilt, other, surplusSent: () => sent, newConnections: () => newConnections };
}

async function callOften(gateway: RunningGateway, path: string, count: number): Promise<Answer[]> {
  const answers: Answer[] = [];
  while (answers.length < count) {
    answers.push(...(await Promise.all([call(gateway, path), call(gateway, path)])));
  }
  return answers;
}

for (const [name, surplus] of [
  ['421', 'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n'],
  [
    '503 that claims not to have run',
    'HTTP/1.1 503 Busy\r\nX-Weirvale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
  ],
  ['200', 'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign'],
] as const) {
  test(`a surplus ${name} without an id makes no unsafe request run twice and is not passed on`, async (t) => {
    const { gateway, spoilt, other, surplusSent } = await startPair(t, surplus);
    const answers = await callOften(gateway, '/pair/', PAIR_CALLS);
    t.true(surplusSent() > 0);
    const ran = [...spoilt.receivedIds, ...other.receivedIds];
    t.is(new Set(ran).size, ran.length);
    t.true(answers.some(({ status }) => status === 502));
    for (const { id, status, body } of answers) {
      const isOwn = status === 200 && body === `answer to ${id}`;
      const isTrulyRefused = status === 503 && !ran.includes(id);
      t.true(isOwn || isTrulyRefused || status === 502, `${status} ${body}`);
    }
  });
}

test('after surplus bytes, requests that may run once go to that backend on new connections', async (t) => {
  const surplus = 'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign';
  const { gateway, spoilt, surplusSent, newConnections } = await startPair(t, surplus);
  await callOften(gateway, '/pair/', PAIR_CALLS);
  const [sentBefore, receivedBefore] = [surplusSent(), spoilt.receivedIds.length];
  const connectionsBefore = newConnections();
  const answers = await callOften(gateway, '/pair/', PAIR_CALLS);
  t.deepEqual([...new Set(answers.map(({ status }) => status))], [200]);
  t.is(surplusSent(), sentBefore);
  const received = spoilt.receivedIds.length - receivedBefore;
  t.true(received > 0);
  t.is(newConnections() - connectionsBefore, received);
});

test('bytes on an idle connection close it, and the next unsafe request does not read them', async (t) => {
  const { gateway, spoilt, other } = await startPair(t, '', 0);
  await callOften(gateway, '/pair/', 10);
  spoilt.writeToAll('HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign');
  t.true(await isDoneWithinTurns(() => spoilt.connections === 0, TURNS_UNTIL_CLOSED));
  const answers = await callOften(gateway, '/pair/', 10);
  t.true(answers.every(({ id, status, body }) => status === 200 && body === `answer to ${id}`));
  t.true(other.receivedIds.length > 0);
});
