import { readFileSync } from 'node:fs';
import test from 'ava';
import * as fc from 'fast-check';
import { formatSettingsReference, parseSettings } from '../src/server/settings.js';

const VALID_SETTINGS = `[process]
role = entry
name = entry-1
region = r
zone = z
place = hall-a
[platform]
keyValueUrl = http://127.0.0.1:1
liveListUrl = http://127.0.0.1:1
`;

test('omitted settings get their defaults', (t) => {
  const settings = parseSettings(VALID_SETTINGS).unwrap();
  t.is(settings.entry.bidWidth, 4);
  t.is(settings.listen.callersPort, 0);
});

test('all invalid settings are reported together, each with its section and line', (t) => {
  const text = `${VALID_SETTINGS}[entry]\nbidWidth = many\ncolour = red\n[garden]\nx = 1\n[listen]\noperatorsPort = 99999\n`;
  const result = parseSettings(text);
  const faults = result.err
    ? result.val.problems.map(({ section, key, line }) => `${line} ${section} ${key}`)
    : [];
  t.deepEqual(faults.sort(), [
    '11 entry bidWidth',
    '12 entry colour',
    '13 garden ',
    '16 listen operatorsPort',
  ]);
});

test('conflicting options are reported', (t) => {
  const text = `${VALID_SETTINGS.replace('role = entry', 'role = agent')}[agent]\npingIntervalMs = 9000\n[listen]\nprotocolPort = 7000\noperatorsPort = 7000\n`;
  const result = parseSettings(text);
  const keys = result.err ? result.val.problems.map((problem) => problem.key).sort() : [];
  t.deepEqual(keys, ['backendUrl', 'operatorsPort', 'silenceTimeoutMs']);
});

test('a duplicate key is reported', (t) => {
  const result = parseSettings(`${VALID_SETTINGS}[entry]\nbidWidth = 3\nbidWidth = 4\n`);
  t.is(result.err && result.val.problems[0]?.problem, 'is set twice');
});

test('arbitrary text parses to settings or a typed error and never throws', (t) => {
  fc.assert(
    fc.property(fc.string({ maxLength: 300 }), (text) => {
      const result = parseSettings(text);
      return result.ok || result.val.code === 'invalid-settings';
    }),
    { seed: 3, numRuns: 300 },
  );
  t.pass();
});

test('docs/SETTINGS.md matches the settings schema', (t) => {
  t.is(readFileSync('docs/SETTINGS.md', 'utf8'), formatSettingsReference());
});
