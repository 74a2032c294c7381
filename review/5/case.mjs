// BUDGET: a drill. The store comes back from a copy that does not know of a request that crashes
// the workers that run it.
import { runCase, TROUBLE } from '../lib-2/case.mjs';
import { send } from '../lib-2/client.mjs';
import { Deployment, HOST, KEY } from '../lib-2/deployment.mjs';
import { BOUNDS, sleep } from '../lib-2/fleet.mjs';

const WORK_MS = 400;
/** A worker that crashed is back after some seconds. */
const BACK_AFTER_MS = 2_000;
const AWAY_MS = 500;
/** Times from the first deadly request, in milliseconds. */
const COPY_AT_MS = -500;
const FIRST_AT_MS = [0, 800, 1_600, 2_400, 3_000];
const AWAY_AT_MS = 3_500;
const AGAIN_AT_MS = [7_400, 8_200, 9_000, 9_800];
const END_AT_MS = 11_000;
const DEADLY = '{"invoice":"deadly"}';

runCase(import.meta.url, async ({ record, note, onStop }) => {
  const crashes = [];
  const deployment = await Deployment.start({
    workers: 8,
    onRun: (run) => note('run', run),
    answer: async (request, body, response, self) => {
      if (body.toString() === DEADLY) {
        const id = request.headers['x-weirvale-attempt-id'];
        await sleep(20);
        if (!self.isEnded) {
          crashes.push({ id, atMs: Date.now() });
          note('crash', { worker: self.name, id });
          self.crash();
          setTimeout(() => void self.startAgain(), BACK_AFTER_MS);
        }
        return;
      }
      await sleep(WORK_MS);
      if (self.isEnded || response.destroyed) {
        return;
      }
      response.writeHead(200, { ...self.headers(request), 'Content-Length': 2 });
      response.end('ok');
    },
  });
  onStop(() => deployment.stop());
  if (!deployment.isReady) {
    return 2;
  }
  const { store, workers, gateways } = deployment;
  await sleep(BOUNDS.contactMs + 500);
  const startAtMs = Date.now() + 1_000;
  const until = (afterMs) => sleep(startAtMs + afterMs - Date.now());
  const results = [];
  const request = (gateway, body, what) =>
    send({
      gateway: gateway.front,
      path: '/unsafe/x',
      host: HOST,
      key: KEY,
      deadlineMs: 3000,
      body,
    }).then((result) => {
      const { id, status, text, sentAtMs } = result;
      note(what, {
        id,
        gateway: gateway.nodeName,
        status,
        text,
        sinceStartMs: sentAtMs - startAtMs,
      });
      results.push({ ...result, what });
    });
  const calls = [];
  const plan = async (afterMs, action) => {
    await until(afterMs);
    await action();
  };
  const deadlyPair = () =>
    gateways.forEach((gateway) => calls.push(request(gateway, DEADLY, 'deadly')));
  let copy;
  const steps = [
    plan(COPY_AT_MS, () => (copy = store.copy())),
    ...[...FIRST_AT_MS, ...AGAIN_AT_MS].map((atMs) => plan(atMs, deadlyPair)),
    plan(AWAY_AT_MS, () => {
      if (TROUBLE) {
        store.goAway();
        note('the store is away');
      }
    }),
    plan(AWAY_AT_MS + AWAY_MS, () => {
      if (TROUBLE) {
        store.comeBackFrom(copy);
        note('the store is back from a copy', { era: store.era, revision: store.revision });
        // What the operator and the workers wrote is written again.
        store.put('op/config', deployment.config);
        for (const worker of workers.filter(({ isEnded }) => !isEnded)) {
          worker.silence();
          worker.announce();
        }
      }
    }),
  ];
  let isOver = false;
  const press = async (gateway) => {
    for (let count = 0; !isOver; count += 1) {
      calls.push(request(gateway, `{"invoice":"${gateway.nodeName}-${count}"}`, 'sound'));
      await sleep(100);
    }
  };
  const pressing = gateways.map(press);
  await Promise.all(steps);
  await until(END_AT_MS);
  isOver = true;
  await Promise.all(pressing);
  await Promise.all(calls);
  if (crashes.length < 3) {
    return 2;
  }
  const thirdAtMs = crashes[2].atMs;
  const backAtMs = startAtMs + AWAY_AT_MS + AWAY_MS;
  const countedFromMs = Math.max(thirdAtMs, backAtMs) + BOUNDS.contactMs;
  const reached = results.filter(
    ({ what, id, sentAtMs }) =>
      what === 'deadly' &&
      sentAtMs > countedFromMs &&
      record.some((entry) => entry.what === 'run' && entry.id === id),
  );
  const lost = results.filter(
    ({ what, status, sentAtMs }) => what === 'sound' && sentAtMs > countedFromMs && status !== 200,
  );
  note('judged', {
    thirdCrashMs: thirdAtMs - startAtMs,
    reached: reached.length,
    soundLost: lost.length,
  });
  console.log(
    `${reached.length} deadly requests reached workers later than contactMs after the third crash and the drill; ${lost.length} sound ones were lost then`,
  );
  return reached.length > 3 ? 1 : 0;
});
