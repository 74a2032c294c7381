/** Commands that change the active policy. */
import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import { diffPolicies } from '../../policy/change.js';
import type { PolicyEdit } from '../../policy/change.js';
import { policyEntrySchema } from '../../policy/document.js';
import type { PolicyDocument, PolicyEntry } from '../../policy/document.js';
import { entryFromPairs } from '../../policy/ini-policy.js';
import { changePolicy } from '../../policy/store.js';
import type { StoredPolicy } from '../../policy/store.js';
import {
  toCommandError,
  CommandError,
  createKeyValueClient,
  printOutput,
  readPolicy,
  readPolicyFile,
  parsePair,
} from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

/** Applies a complete policy file as one change. */
export async function applyPolicyFile(path: string, options: GlobalOptions): Promise<void> {
  const desired = readPolicyFile(path);
  await submitChange(options, `apply ${path}`, (stored) => diffPolicies(stored.document, desired));
}

/** Adds labels to a policy entry, or changes their values. */
export async function setLabels(
  entryName: string,
  pairs: readonly string[],
  options: GlobalOptions,
): Promise<void> {
  const labels = Object.fromEntries(pairs.map(parsePair));
  await submitLabelChange(entryName, options, `set ${pairs.join(' ')}`, (before) => ({
    ...before,
    ...labels,
  }));
}

/** Removes labels from a policy entry. */
export async function unsetLabels(
  entryName: string,
  keys: readonly string[],
  options: GlobalOptions,
): Promise<void> {
  await submitLabelChange(entryName, options, `unset ${keys.join(' ')}`, (before) =>
    Object.fromEntries(Object.entries(before).filter(([key]) => !keys.includes(key))),
  );
}

/** Creates a selector, or replaces the one of the same name. */
export async function setSelector(
  name: string,
  pairs: readonly string[],
  options: GlobalOptions,
): Promise<void> {
  const parsed = policyEntrySchema.safeParse(entryFromPairs('selector', pairs.map(parsePair)));
  if (!parsed.success) {
    const lines = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
    throw new CommandError(EXIT.badInput, lines.join('\n'));
  }
  const edit = { entry: `selector.${name}`, after: parsed.data };
  await submitChange(options, `selector ${name}`, () => [edit]);
}

/** Removes a selector. */
export async function unsetSelector(name: string, options: GlobalOptions): Promise<void> {
  const entry = `selector.${name}`;
  await submitChange(options, `remove selector ${name}`, (stored) => {
    requireEntry(stored.document, entry);
    return [{ entry, after: null }];
  });
}

async function submitLabelChange(
  entryName: string,
  options: GlobalOptions,
  summary: string,
  edit: (before: Record<string, string>) => Record<string, string>,
): Promise<void> {
  await submitChange(options, `${entryName}: ${summary}`, (stored) => {
    const before = requireEntry(stored.document, entryName);
    if (!('labels' in before)) {
      throw new CommandError(EXIT.badInput, `${entryName} has no labels`);
    }
    return [{ entry: entryName, after: { ...before, labels: edit(before.labels) } }];
  });
}

async function submitChange(
  options: GlobalOptions,
  summary: string,
  createEdits: (stored: StoredPolicy) => PolicyEdit[],
): Promise<void> {
  const client = createKeyValueClient(options);
  const stored = await readPolicy(client);
  const edits = createEdits(stored);
  if (edits.length === 0) {
    printOutput(options, { generation: stored.head.generation, changed: 0 }, 'no changes');
    return;
  }
  const result = await changePolicy(client, {
    changeId: randomUUID(),
    author: userInfo().username,
    atMs: Date.now(),
    summary,
    edits,
    baseDocument: stored.document,
  });
  if (!result.ok) {
    throw toCommandError(result.val);
  }
  const { generation } = result.val;
  printOutput(
    options,
    { generation, changed: edits.length },
    `generation ${generation}: ${edits.length} entries changed`,
  );
}

function requireEntry(document: PolicyDocument, name: string): PolicyEntry {
  const entry = document[name];
  if (entry === undefined) {
    throw new CommandError(EXIT.badInput, `the policy has no entry "${name}"`);
  }
  return entry;
}
