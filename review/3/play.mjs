/** Workers spoil answers; machines must keep the requests that sound workers have. */
import { createRandom, HAS_TROUBLE, runCase } from '../lib/case.mjs';
import { Client } from '../lib/client.mjs';
import {
  CONFIGURATION,
  GATEWAYS,
  KEY_HEADERS,
  modelHeaders,
  workerOptions,
} from '../lib/deployment.mjs';
import { Fleet, sleep } from '../lib/fleet.mjs';
import { Losses } from '../lib/losses.mjs';
import { answerHead, chunk, eventText } from '../lib/worker.mjs';

const CALM_MS = 3_000;
const STATUS_MS = 8_000;
const EVENT_MS = 18_000;
const PLAIN_CLIENTS_PER_GATEWAY = 10;
const STREAM_CLIENTS_PER_GATEWAY = 5;
const PAUSE_MS = 120;
const RECONNECT_MS = 100;
const ENGINES = 3;
/** Spoils the status of answers in the first part of the trouble. */
const STATUS_WORKER = 'i-ledger-0';
/** Spoils the id of an event and breaks the stream off, in the second part. */
const EVENT_WORKER = 'i-llm-0';
/** Shares of the answers that are spoilt: what `garble` does where a day names none, and twice that. */
const SPOILT_SHARES = { [STATUS_WORKER]: 0.02, [EVENT_WORKER]: 0.04 };
const BREAK_AFTER_MS = 20;
const UNSAFE = { path: '/unsafe/remit-confirm/a', deadlineMs: 1_000 };
const SAFE = { path: '/safe/advance-status/a', deadlineMs: 1_000 };
const STREAM = { path: '/stream/contract-match/a', deadlineMs: 5_000 };

/** An answer of which one bit has changed: its status is 000, so it is none in the protocol. */
function spoiltAnswer(worker, id) {
  const body = `answer to ${id}`;
  const headers = { ...worker.answerHeaders(id), 'Content-Length': body.length };
  return answerHead(200, headers).replace(' 200 ', ' 000 ') + body;
}

/** An event in whose id one bit has changed: a digit has become a control character. */
function spoiltEvent(number, text) {
  const digit = String(number).charCodeAt(0);
  const flipped = String.fromCharCode(digit ^ 0x20);
  return eventText(number, text).replace(`id: ${number}`, `id: ${flipped}`);
}

/** Makes the two faulty workers spoil answers of their kind while `part()` is theirs. */
function addFaults(fleet, { record, random, part }) {
  const isDue = (id) => part() === id && random() < SPOILT_SHARES[id];
  const find = (name) => fleet.workers.find(({ id }) => id === name);
  find(STATUS_WORKER).spoil = (_request, { id, socket, worker }) => {
    if (!isDue(STATUS_WORKER)) {
      return false;
    }
    record.add('spoilt status', { id, worker: worker.id });
    socket.write(spoiltAnswer(worker, id));
    return true;
  };
  find(EVENT_WORKER).spoil = (request, { id, socket, worker }) => {
    if (!isDue(EVENT_WORKER)) {
      return false;
    }
    const number = Number(request.headers['last-event-id'] ?? 0) + 1;
    record.add('spoilt event, then broken off', { id, worker: worker.id, number });
    socket.write(worker.streamHead(id));
    socket.write(chunk(spoiltEvent(number, `${worker.version} ${id}`)));
    setTimeout(() => socket.destroy(), BREAK_AFTER_MS);
    return true;
  };
}

await runCase(import.meta.dirname, async (record) => {
  const random = createRandom();
  const losses = new Losses(record, [STATUS_WORKER, EVENT_WORKER]);
  let part;
  const fleet = new Fleet();
  await fleet.start({
    gateways: GATEWAYS,
    configuration: CONFIGURATION,
    workers: workerOptions(ENGINES, (run) => losses.noteRun(run)),
  });
  addFaults(fleet, { record, random, part: () => part });
  const endAtMs = performance.now() + CALM_MS + STATUS_MS + EVENT_MS;
  const serve = async (host, request, headers) => {
    const client = new Client(host, fleet.port('front'));
    while (performance.now() < endAtMs) {
      const answer = await client.send({ ...request, headers: headers() });
      losses.noteAnswer(answer);
      await sleep(PAUSE_MS * random() + (answer.status === 0 ? RECONNECT_MS : 0));
    }
    client.close();
  };
  const serveAll = (count, request, headers) =>
    fleet.gatewayHosts.flatMap((host) =>
      Array.from({ length: count }, () => serve(host, request, headers)),
    );
  const clients = [
    ...serveAll(PLAIN_CLIENTS_PER_GATEWAY / 2, UNSAFE, () => KEY_HEADERS),
    ...serveAll(PLAIN_CLIENTS_PER_GATEWAY / 2, SAFE, () => KEY_HEADERS),
    ...serveAll(STREAM_CLIENTS_PER_GATEWAY, STREAM, () => modelHeaders('5c1e07a2')),
  ];
  await sleep(CALM_MS);
  part = HAS_TROUBLE ? STATUS_WORKER : undefined;
  await sleep(STATUS_MS);
  part = HAS_TROUBLE ? EVENT_WORKER : undefined;
  const changedAtMs = performance.now();
  await Promise.all(clients);
  const verdict = losses.judge(fleet, changedAtMs);
  fleet.stop();
  return losses.workersById.size === 0 ? { problem: 'no request ran' } : verdict;
});
