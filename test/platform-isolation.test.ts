import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';

/** Names of the platform, which only the adapter may contain. */
const PLATFORM_NAMES =
  /X-Weirvale-|op\/config|servers\/|\/-\/|WEIRVALE_SETTINGS|pathPrefix=|kv-(key|range|watch|txn|lease)|apiKeys['"]|gapAimMs|ratePerS['"]|coldRemainingMs/;
/** Modules that make decisions; the adapter may import only interfaces, utilities and roles. */
const DECIDING_MODULES =
  /gateway\/(\w+\/)?(dispatcher|proxied-request|retry-budget|backend-health)|quotas\/|slot-allocator|routing-table|policy\//;

function filesBelow(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    return entry.isDirectory() ? filesBelow(path) : [path];
  });
}

test('no file in src/ contains a name of the platform', (t) => {
  const violations = filesBelow('src')
    .filter((path) => path.endsWith('.ts'))
    .filter((path) => PLATFORM_NAMES.test(readFileSync(path, 'utf8')));
  t.deepEqual(violations, []);
});

test('platform/ imports no module that makes decisions, and has fewer than 700 lines', (t) => {
  const files = filesBelow('platform').filter((path) => path.endsWith('.ts'));
  const importing = files.filter((path) =>
    readFileSync(path, 'utf8')
      .split('\n')
      .some((line) => / from '/.test(line) && DECIDING_MODULES.test(line)),
  );
  const lines = files.reduce((sum, path) => sum + readFileSync(path, 'utf8').split('\n').length, 0);
  t.deepEqual(importing, []);
  t.true(lines < 700);
});
