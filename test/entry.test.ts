import test from 'ava';
import { EntryCore } from '../src/entry/entry-core.js';
import { DEFAULT_ENTRY_OPTIONS } from '../src/options.js';
import { SeededRandom } from '../src/random.js';
import { smallPolicy } from './support/policy.js';

const AGENT = 'a-1';

/** Creates an entry with one connected agent that sent a permit at time 0. */
function createEntryWithPermit(): EntryCore {
  const core = new EntryCore({
    identity: { name: 'entry', incarnation: 'entry.1', region: 'r', zone: 'z', place: 'hall-a' },
    options: DEFAULT_ENTRY_OPTIONS,
    random: new SeededRandom(1),
  });
  const update = { form: 'full' as const, generation: 1, document: smallPolicy(), recent: [] };
  const place = { region: 'r', zone: 'z', place: 'hall-a', address: 'a', port: 1 };
  core.handle({ kind: 'policy', update }, 0);
  core.handle(
    { kind: 'fleet', machines: [{ name: AGENT, role: 'agent', state: 'live', ...place }] },
    0,
  );
  const connection = { peer: AGENT, connectionNumber: 1 };
  const common = { version: 1, role: 'agent', zone: 'z', connectionNumber: 1 } as const;
  const hello = { kind: 'hello', name: AGENT, incarnation: 'a-1.1', ...common } as const;
  core.handle({ kind: 'peer-connected', ...connection, hello }, 0);
  const frame = { generation: 1, messages: [{ kind: 'permit' as const, validForMs: 4_000 }] };
  core.handle({ kind: 'frame', ...connection, frame }, 0);
  return core;
}

function sentAt(core: EntryCore, nowMs: number): string[] {
  const request = {
    id: 'entry.1:1',
    tenant: 'shop',
    model: 'risk',
    dataLabels: { class: 'invoice' },
    deadlineInMs: 20_000,
    promptTokens: 10,
    maxOutputTokens: 10,
    prefixHash: '',
    isRepeatable: true,
    payload: { method: 'POST', path: '/', contentType: 'x', body: '' },
  };
  return core
    .handle({ kind: 'request-arrived', request }, nowMs)
    .flatMap((effect) => (effect.kind === 'send' ? [effect.message.kind] : []));
}

test('an entry uses the permit of an agent that sent a message recently', (t) => {
  t.deepEqual(sentAt(createEntryWithPermit(), 500), ['bind']);
});

test('an entry does not use the permit of a silent agent, which may be frozen', (t) => {
  t.deepEqual(sentAt(createEntryWithPermit(), 1_500), ['bid']);
});
