// Runs the scenarios of bench/days on a site of an external benchmark program:
// npm run bench:days -- BENCH SITE [DAY.toml ...]
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync } from 'node:fs';

const SCENARIO_FOLDER = 'bench/days';
const [bench, site, ...chosen] = process.argv.slice(2);
if (bench === undefined || site === undefined) {
  console.error('usage: npm run bench:days -- BENCH SITE [DAY.toml ...]');
  process.exit(2);
}
if (!existsSync(bench) || !existsSync(site)) {
  console.log('the benchmark or the site does not exist: no scenario was run');
  process.exit(0);
}
const scenarios =
  chosen.length > 0
    ? chosen
    : readdirSync(SCENARIO_FOLDER).map((name) => `${SCENARIO_FOLDER}/${name}`);
let failedCount = 0;
let notRun = 0;
for (const scenario of scenarios) {
  const reason = `day of our own: ${scenario}`;
  const run = spawnSync(bench, ['run', site, scenario, '--why', reason], { encoding: 'utf8' });
  const lines = run.stdout.split('\n');
  const summary = lines.filter(
    (line) => / \d+\/\d+ +\d/.test(line) || /^rules broken|short of/.test(line),
  );
  if (summary.length === 0) {
    notRun += 1;
    summary.push(`not run: ${(run.stderr || run.stdout).trim().split('\n').at(-1)}`);
  }
  console.log(`${scenario}\n  ${summary.join('\n  ')}`);
  failedCount += lines.some((line) => line.startsWith('rules broken')) ? 1 : 0;
}
console.log(
  `${scenarios.length - notRun} scenarios, ${failedCount} with a rule broken, ${notRun} not run`,
);
process.exit(failedCount === 0 ? 0 : 1);
