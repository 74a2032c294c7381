/**
 * Workers crash while the store is away, start again under their ids with other software, and crash
 * once more; no stream may hold events of two software versions.
 */
import { HAS_TROUBLE, runCase } from '../lib/case.mjs';
import { Client } from '../lib/client.mjs';
import { CONFIGURATION, GATEWAYS, modelHeaders, workerOptions } from '../lib/deployment.mjs';
import { Fleet, sleep } from '../lib/fleet.mjs';

const STREAMS_PER_GATEWAY = 6;
const ENGINES = 8;
const EVENTS = 14;
const EVENT_MS = 60;
const OLD_VERSION = 'v1';
const NEW_VERSION = 'v2';
/** Workers that run the new software from the start, side by side with the others. */
const NEW_WORKERS = new Set(['i-llm-6', 'i-llm-7']);
const CRASHING_WORKERS = ['i-llm-0', 'i-llm-1', 'i-llm-2'];
/** Streams of two versions above which the rule is broken. */
const ALLOWED = 2;
/** Pauses between the steps, in milliseconds. */
const PAUSES = {
  burst: 1_000,
  outage: 1_500,
  down: 2_000,
  started: 200,
  streaming: 500,
  after: 1_000,
};
const STREAM = { path: '/stream/contract-match/a', deadlineMs: 5_000 };

function versionsIn(body) {
  return [...new Set([...body.matchAll(/^data: (v\d) /gm)].map(([, version]) => version))];
}

function options(onRun) {
  return workerOptions(ENGINES, onRun).map((each) =>
    each.isEngine
      ? {
          ...each,
          events: EVENTS,
          eventMs: EVENT_MS,
          version: NEW_WORKERS.has(each.id) ? NEW_VERSION : OLD_VERSION,
        }
      : each,
  );
}

await runCase(import.meta.dirname, async (record) => {
  let runs = 0;
  const onRun = ({ id, worker, version, from }) => {
    runs += 1;
    record.add('run', { id, worker, version, after: from });
  };
  const fleet = new Fleet();
  await fleet.start({
    gateways: GATEWAYS,
    configuration: CONFIGURATION,
    workers: options(onRun),
  });
  const clients = fleet.gatewayHosts.flatMap((host) =>
    Array.from({ length: STREAMS_PER_GATEWAY }, () => new Client(host, fleet.port('front'))),
  );
  const answers = [];
  const send = async (client) => {
    const answer = await client.send({ ...STREAM, headers: modelHeaders('5c1e07a2') });
    const { id, gateway, status, isWhole, error } = answer;
    const versions = versionsIn(answer.body);
    record.add('answered', { id, gateway, status, isWhole, error, versions });
    answers.push(versions);
  };
  const burst = () => Promise.all(clients.map(send));
  const crashing = fleet.workers.filter(({ id }) => CRASHING_WORKERS.includes(id));
  const inTrouble = async (what, step) => {
    if (HAS_TROUBLE) {
      record.add(what, {});
      await step();
    }
  };
  const crash = () =>
    inTrouble(`${CRASHING_WORKERS.join(' and ')} crash`, () =>
      Promise.all(crashing.map((worker) => worker.crash())),
    );
  const startAgain = () =>
    inTrouble(`they start again under their ids, with ${NEW_VERSION}`, () =>
      Promise.all(
        crashing.map((worker) => {
          worker.version = NEW_VERSION;
          return worker.start();
        }),
      ),
    );

  await burst();
  await sleep(PAUSES.burst);
  await burst();
  await sleep(PAUSES.burst);
  await inTrouble('the store is away', () => (fleet.store.mode = 'silent'));
  await sleep(PAUSES.outage);
  await crash();
  await sleep(PAUSES.down);
  await startAgain();
  await sleep(PAUSES.started);
  const streams = burst();
  await sleep(PAUSES.streaming);
  await crash();
  await streams;
  await sleep(PAUSES.down);
  await startAgain();
  await inTrouble('the store is back', () => {
    fleet.store.comeBack();
    fleet.beat();
  });
  await sleep(PAUSES.after);
  await burst();
  fleet.stop();
  const mixed = answers.filter((versions) => versions.length > 1).length;
  const summary = `${answers.length} streams, ${mixed} with events of two versions (allowed: ${ALLOWED})`;
  return runs === 0 ? { problem: 'no request ran' } : { isBroken: mixed > ALLOWED, summary };
});
