/** Parses and formats policy documents as INI files. */
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { parseIniSections } from '../ini-sections.js';
import type { IniSection } from '../ini-sections.js';
import { InvalidPolicyError } from './errors.js';
import type { PolicyProblem } from './errors.js';
import { policyEntrySchema } from './document.js';
import type { PolicyDocument, PolicyEntry } from './document.js';
import { findPolicyProblems } from './validate.js';

const LIST_KEYS = new Set(['values', 'models', 'keys']);
const NUMBER_KEYS = new Set(['weight', 'maxConcurrent', 'priority', 'tier']);
const BOOLEAN_KEYS = new Set(['repeatable']);
const CONDITION_KEYS = new Set(['tenant', 'model', 'data', 'engine', 'place']);

/**
 * Parses a policy document with one `[kind.name]` section per entry.
 *
 * @returns the document, or InvalidPolicyError with the problems found, each with the line of its
 *   section header
 */
export function parsePolicyIni(text: string): Result<PolicyDocument, InvalidPolicyError> {
  const document: Record<string, PolicyEntry> = {};
  const lineByEntry = new Map<string, number>();
  const problems: PolicyProblem[] = [];
  for (const section of parseIniSections(text)) {
    lineByEntry.set(section.name, section.line);
    const parsed = policyEntrySchema.safeParse(entryFromSection(section));
    if (parsed.success) {
      document[section.name] = parsed.data;
      continue;
    }
    for (const issue of parsed.error.issues) {
      const problem = `${issue.path.join('.') || 'entry'}: ${issue.message}`;
      problems.push({ entry: section.name, problem, line: section.line });
    }
  }
  for (const problem of findPolicyProblems(document)) {
    problems.push({ ...problem, line: lineByEntry.get(problem.entry) });
  }
  return problems.length > 0 ? err(new InvalidPolicyError(problems)) : ok(document);
}

/** Formats a document so that `parsePolicyIni` can parse it. */
export function formatPolicyIni(document: PolicyDocument): string {
  return Object.keys(document)
    .sort()
    .map((name) => formatEntry(name, document[name]!))
    .join('\n');
}

/** Builds an entry from the `key = value` pairs of a file or command line, not yet validated. */
export function entryFromPairs(
  kind: string,
  pairs: ReadonlyArray<readonly [string, string]>,
): Record<string, unknown> {
  const entry: Record<string, unknown> = { kind };
  for (const [key, value] of pairs) {
    assignPair(entry, kind, key, value);
  }
  return entry;
}

function entryFromSection(section: IniSection): unknown {
  const kind = section.name.slice(0, section.name.indexOf('.'));
  return entryFromPairs(
    kind,
    section.pairs.map((pair) => [pair.key, pair.value] as const),
  );
}

function assignPair(
  entry: Record<string, unknown>,
  kind: string,
  key: string,
  value: string,
): void {
  const [group, name] = splitKey(key);
  if (name !== undefined && group === 'label') {
    entry['labels'] = { ...(entry['labels'] as object | undefined), [name]: value };
  } else if (name !== undefined && kind === 'selector' && CONDITION_KEYS.has(group)) {
    entry[group] = { ...(entry[group] as object | undefined), [name]: splitList(value) };
  } else if (LIST_KEYS.has(key)) {
    entry[key] = splitList(value);
  } else if (NUMBER_KEYS.has(key)) {
    entry[key] = Number(value);
  } else if (BOOLEAN_KEYS.has(key)) {
    entry[key] = value === 'true' ? true : value === 'false' ? false : value;
  } else {
    entry[key] = value;
  }
}

function splitKey(key: string): [string, string | undefined] {
  const dot = key.indexOf('.');
  return dot < 0 ? [key, undefined] : [key.slice(0, dot), key.slice(dot + 1)];
}

function splitList(value: string): string[] {
  return value
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item.length > 0);
}

function formatEntry(name: string, entry: PolicyEntry): string {
  const lines = [`[${name}]`];
  for (const [key, value] of Object.entries(entry)) {
    if (key === 'kind') {
      continue;
    }
    if (Array.isArray(value)) {
      lines.push(...(value.length > 0 ? [`${key} = ${value.join(', ')}`] : []));
    } else if (typeof value === 'object') {
      lines.push(...formatGroup(key === 'labels' ? 'label' : key, value));
    } else {
      lines.push(`${key} = ${value}`);
    }
  }
  return `${lines.join('\n')}\n`;
}

function formatGroup(group: string, values: Readonly<Record<string, unknown>>): string[] {
  return Object.entries(values).map(([key, value]) => {
    const text = Array.isArray(value) ? value.join(', ') : String(value);
    return `${group}.${key} = ${text}`;
  });
}
