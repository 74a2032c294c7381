// Plays our own days on a site of the users' bench: npm run bench:days -- BENCH SITE [DAY.toml ...]
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync } from 'node:fs';

const FOLDER = 'bench/days';
const [bench, site, ...chosen] = process.argv.slice(2);
if (bench === undefined || site === undefined) {
  console.error('usage: npm run bench:days -- BENCH SITE [DAY.toml ...]');
  process.exit(2);
}
if (!existsSync(bench) || !existsSync(site)) {
  console.log('the bench is not here: no day was played');
  process.exit(0);
}
const days = chosen.length > 0 ? chosen : readdirSync(FOLDER).map((name) => `${FOLDER}/${name}`);
let broken = 0;
let notPlayed = 0;
for (const day of days) {
  const why = `day of our own: ${day}`;
  const run = spawnSync(bench, ['run', site, day, '--why', why], { encoding: 'utf8' });
  const lines = run.stdout.split('\n');
  const verdict = lines.filter(
    (line) => / \d+\/\d+ +\d/.test(line) || /^rules broken|short of/.test(line),
  );
  if (verdict.length === 0) {
    notPlayed += 1;
    verdict.push(`not played: ${(run.stderr || run.stdout).trim().split('\n').at(-1)}`);
  }
  console.log(`${day}\n  ${verdict.join('\n  ')}`);
  broken += lines.some((line) => line.startsWith('rules broken')) ? 1 : 0;
}
console.log(
  `${days.length - notPlayed} days, ${broken} with a rule broken, ${notPlayed} not played`,
);
process.exit(broken === 0 ? 0 : 1);
