import { readFileSync } from 'node:fs';
import test from 'ava';
import { formatTables } from '../bench/capacity-page.js';
import type { CapacityResults } from '../bench/capacity-page.js';

test('docs/CAPACITY.md shows the recorded results', (t) => {
  const results = JSON.parse(readFileSync('docs/results/capacity.json', 'utf8')) as CapacityResults;
  t.true(readFileSync('docs/CAPACITY.md', 'utf8').includes(formatTables(results)));
});
