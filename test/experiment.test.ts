import { readFileSync } from 'node:fs';
import test from 'ava';
import { parseExperiment } from '../src/experiment/experiment.js';
import type { Experiment } from '../src/experiment/experiment.js';
import { runExperiment } from '../src/experiment/run-experiment.js';

const BURST = readFileSync('examples/experiments/burst.ini', 'utf8');

function experimentOf(text: string): Experiment {
  const parsed = parseExperiment(text);
  if (!parsed.ok) {
    throw parsed.val;
  }
  return parsed.val;
}

function problemsOf(text: string): string {
  const parsed = parseExperiment(text);
  return parsed.ok ? '' : parsed.val.message;
}

test('runs with the same seed have equal digests, runs with different seeds do not', async (t) => {
  const experiment = experimentOf(BURST.replace('durationS = 30', 'durationS = 4'));
  const first = await runExperiment(experiment, 1);
  const again = await runExperiment(experiment, 1);
  const other = await runExperiment(experiment, 2);
  t.is(first.digest, again.digest);
  t.not(first.digest, other.digest);
});

test('without a burst, nearly all responses are on time', async (t) => {
  const calm = BURST.replace(/factor = .*/g, 'factor = 1').replace(
    'durationS = 30',
    'durationS = 8',
  );
  const { total } = await runExperiment(experimentOf(calm), 1);
  t.true(total.inTime / total.asked > 0.95, `${total.inTime} of ${total.asked}`);
});

test('in a burst, the highest-priority route is on time, and refusals come early', async (t) => {
  const { routes } = await runExperiment(experimentOf(BURST), 3);
  const [dossier, , sort] = routes;
  t.true(dossier!.inTime / dossier!.asked > 0.95);
  const unserved = sort!.asked - sort!.inTime - sort!.late;
  t.true(unserved > 0);
  t.true(sort!.heldMs / unserved < 250, `${sort!.heldMs / unserved} ms`);
});

test('slots of gateways that lose power are recovered only by the timeouts of agents', async (t) => {
  const experiment = experimentOf(readFileSync('examples/experiments/power-loss.ini', 'utf8'));
  const { total } = await runExperiment(experiment, 2);
  t.true(total.inTime / total.asked > 0.85, `${total.inTime} of ${total.asked}`);
  const gatewayTimeouts = { grantAnswerMs: 1e9, silenceMs: 1e9 };
  const withoutTimeouts = await runExperiment(experiment, 2, { gatewayTimeouts });
  t.true(
    withoutTimeouts.total.inTime / withoutTimeouts.total.asked < 0.6,
    `${withoutTimeouts.total.inTime}`,
  );
  t.true(withoutTimeouts.seconds.at(-1)!.atWork <= 4, 'of 24 slots');
});

test('requests avoid engines that abort a share of their streams', async (t) => {
  const experiment = experimentOf(readFileSync('examples/experiments/failing-engines.ini', 'utf8'));
  const { total } = await runExperiment(experiment, 1);
  t.true(total.inTime / total.asked > 0.92, `${total.inTime} of ${total.asked}`);
});

test('an invalid experiment file is rejected, and the error names the section or line', (t) => {
  t.regex(problemsOf(BURST.replace('slots = 10', 'slots = -1')), /line 6: \[fleet\] slots/);
  t.regex(problemsOf(BURST.replace('linkMs', 'lnikMs')), /line 7: \[fleet\] lnikMs: is no setting/);
  t.regex(
    problemsOf(`${BURST}\n[fault.1]\nkind = engine-crash\ncount = 99\natS = 1\nforS = 1\n`),
    /\[fault\.1\] count: is more than the fleet has/,
  );
  t.regex(problemsOf(`${BURST}\n[faults]\nkind = x\n`), /\[faults\]: is no setting/);
  t.regex(problemsOf(`${BURST}\n[fault.1]\nkind = flood\natS = 1\nforS = 1\ncount = 1\n`), /kind/);
});
