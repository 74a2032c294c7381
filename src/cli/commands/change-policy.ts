/** Commands that change the policy in force. */
import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import { findEdits } from '../../policy/change.js';
import type { PolicyEdit } from '../../policy/change.js';
import { policyEntrySchema } from '../../policy/document.js';
import type { PolicyDocument, PolicyEntry } from '../../policy/document.js';
import { entryFromPairs } from '../../policy/ini-policy.js';
import { changePolicy } from '../../policy/store.js';
import type { StoredPolicy } from '../../policy/store.js';
import {
  changeFailure,
  CommandFailure,
  openPlatform,
  print,
  readPolicy,
  readPolicyFile,
  splitPair,
} from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

/** Puts a whole policy file in force. */
export async function applyPolicyFile(path: string, options: GlobalOptions): Promise<void> {
  const wanted = readPolicyFile(path);
  await change(options, `apply ${path}`, (stored) => findEdits(stored.document, wanted));
}

/** Sets labels of an entry. */
export async function setLabels(
  entryName: string,
  pairs: readonly string[],
  options: GlobalOptions,
): Promise<void> {
  const labels = Object.fromEntries(pairs.map(splitPair));
  await changeLabels(entryName, options, `set ${pairs.join(' ')}`, (before) => ({
    ...before,
    ...labels,
  }));
}

/** Removes labels of an entry. */
export async function unsetLabels(
  entryName: string,
  keys: readonly string[],
  options: GlobalOptions,
): Promise<void> {
  await changeLabels(entryName, options, `unset ${keys.join(' ')}`, (before) =>
    Object.fromEntries(Object.entries(before).filter(([key]) => !keys.includes(key))),
  );
}

/** Puts a selector in force, in place of an earlier one of the same name. */
export async function setSelector(
  name: string,
  pairs: readonly string[],
  options: GlobalOptions,
): Promise<void> {
  const parsed = policyEntrySchema.safeParse(entryFromPairs('selector', pairs.map(splitPair)));
  if (!parsed.success) {
    const lines = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
    throw new CommandFailure(EXIT.badInput, lines.join('\n'));
  }
  const edit = { entry: `selector.${name}`, after: parsed.data };
  await change(options, `selector ${name}`, () => [edit]);
}

/** Removes a selector. */
export async function unsetSelector(name: string, options: GlobalOptions): Promise<void> {
  const entry = `selector.${name}`;
  await change(options, `remove selector ${name}`, (stored) => {
    requireEntry(stored.document, entry);
    return [{ entry, after: null }];
  });
}

async function changeLabels(
  entryName: string,
  options: GlobalOptions,
  summary: string,
  edit: (before: Record<string, string>) => Record<string, string>,
): Promise<void> {
  await change(options, `${entryName}: ${summary}`, (stored) => {
    const before = requireEntry(stored.document, entryName);
    if (!('labels' in before)) {
      throw new CommandFailure(EXIT.badInput, `${entryName} has no labels`);
    }
    return [{ entry: entryName, after: { ...before, labels: edit(before.labels) } }];
  });
}

async function change(
  options: GlobalOptions,
  summary: string,
  createEdits: (stored: StoredPolicy) => PolicyEdit[],
): Promise<void> {
  const client = openPlatform(options);
  const stored = await readPolicy(client);
  const edits = createEdits(stored);
  if (edits.length === 0) {
    print(options, { generation: stored.head.generation, changed: 0 }, 'nothing to change');
    return;
  }
  const result = await changePolicy(client, {
    changeId: randomUUID(),
    author: userInfo().username,
    atMs: Date.now(),
    summary,
    edits,
    seen: stored.document,
  });
  if (!result.ok) {
    throw changeFailure(result.val);
  }
  const { generation } = result.val;
  print(
    options,
    { generation, changed: edits.length },
    `generation ${generation}: ${edits.length} entries changed`,
  );
}

function requireEntry(document: PolicyDocument, name: string): PolicyEntry {
  const entry = document[name];
  if (entry === undefined) {
    throw new CommandFailure(EXIT.badInput, `the policy has no ${name}`);
  }
  return entry;
}
