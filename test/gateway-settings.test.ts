import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import * as fc from 'fast-check';
import { parseGatewaySettings } from '../src/gateway/gateway-settings.js';

const GOOD = `[process]
role = gateway
name = g
zone = z
address = 127.0.0.1
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
[cluster]
store = 127.0.0.1:3
`;

test('missing settings get their defaults, and lists are split', (t) => {
  const settings = parseGatewaySettings(`${GOOD}seeds = 10.0.0.1:1, 10.0.0.2:1\n`).unwrap();
  t.deepEqual(settings.cluster.seeds, ['10.0.0.1:1', '10.0.0.2:1']);
  t.is(settings.limits.retryRatio, 0.2);
  t.is(settings.cluster.storeTimeoutMs, 1_500);
});

test('unknown sections and keys are ignored', (t) => {
  t.true(parseGatewaySettings(`${GOOD}colour = red\n[garden]\nx = 1\n`).ok);
});

test('an empty value, as left by the template for an unset option, means the default', (t) => {
  const settings = parseGatewaySettings(`${GOOD}[limits]\nquotaOver =\nretryWindowS = \n`).unwrap();
  t.is(settings.limits.quotaOver, 0.1);
  t.is(settings.limits.retryWindowS, 10);
});

test('invalid values are reported with section, key and line', (t) => {
  const result = parseGatewaySettings(`${GOOD}[limits]\nretryRatio = many\nquotaSlack = -1\n`);
  const faults = result.ok
    ? []
    : result.val.problems.map(({ section, key, line }) => `${line} ${section} ${key}`);
  t.deepEqual(faults.sort(), ['12 limits retryRatio', '13 limits quotaSlack']);
});

test('settings that a role requires must be set', (t) => {
  const withoutStore = parseGatewaySettings(GOOD.replace('store = 127.0.0.1:3', ''));
  t.deepEqual(withoutStore.ok ? [] : withoutStore.val.problems.map(({ key }) => key), ['store']);
  const agent = parseGatewaySettings(GOOD.replace('role = gateway', 'role = slot-agent'));
  t.deepEqual(agent.ok ? [] : agent.val.problems.map(({ key }) => key), ['address']);
});

test('parsing any text returns settings or a typed error and never throws', (t) => {
  fc.assert(fc.property(fc.string(), (text) => typeof parseGatewaySettings(text).ok === 'boolean'));
  t.pass();
});

test('the command line tool checks and shows gateway settings', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'weirvale-settings-')), 'g.ini');
  writeFileSync(file, GOOD);
  const tool = 'dist/src/bin/weirvale.js';
  const shown = execFileSync('node', [tool, 'settings', 'show', file], { encoding: 'utf8' });
  t.regex(shown, /\[limits\]\nretryRatio = 0.2/);
  const checked = execFileSync('node', [tool, 'settings', 'check', file], { encoding: 'utf8' });
  t.regex(checked, /usable: gateway/);
});

test('the platform template sets only options of the schema', (t) => {
  const template = readFileSync('platform/settings.ini.template', 'utf8');
  const filled = template
    .replaceAll('{{role}}', 'gateway')
    .replaceAll(/\{\{(listen|provider)[^}]*\}\}/g, '10.0.0.1:80')
    .replaceAll('{{app}}', '10.0.0.1:80')
    .replaceAll(/\{\{[^}]*\}\}/g, '7');
  t.true(parseGatewaySettings(filled).ok);
});

test('zones are parsed with their regions; a zone without a region is invalid', (t) => {
  const settings = parseGatewaySettings(`${GOOD}[places]\nzones = z:r, y:r\n`).unwrap();
  t.deepEqual(
    [...settings.places.zones],
    [
      ['z', 'r'],
      ['y', 'r'],
    ],
  );
  const invalid = parseGatewaySettings(`${GOOD}[places]\nzones = z,y:r\n`);
  t.deepEqual(invalid.ok ? [] : invalid.val.problems.map(({ key }) => key), ['zones']);
});
