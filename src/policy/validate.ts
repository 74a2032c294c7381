/** Validates a policy document: the schema of its entries, then the references between them. */
import { entriesOfKind, policyEntrySchema } from './document.js';
import type { Conditions, PolicyDocument, PolicyEntry } from './document.js';
import type { PolicyProblem } from './errors.js';
import type { Labels } from '../request/request.js';

const CONDITION_GROUPS = ['tenant', 'model', 'data', 'engine', 'place'] as const;

/** Condition key that matches the name of a policy entry instead of one of its labels. */
export const NAME_CONDITION = 'name';

/**
 * Returns all schema problems of `document` or, if there are none, all references to undeclared
 * entries and label values. An empty list means that the document is valid.
 */
export function findPolicyProblems(document: PolicyDocument): PolicyProblem[] {
  const schemaProblems = Object.entries(document).flatMap(([name, entry]) =>
    findSchemaProblems(name, entry),
  );
  if (schemaProblems.length > 0) {
    return schemaProblems;
  }
  return Object.entries(document).flatMap(([name, entry]) =>
    findReferenceProblems(document, name, entry),
  );
}

function findSchemaProblems(name: string, entry: unknown): PolicyProblem[] {
  const parsed = policyEntrySchema.safeParse(entry);
  if (!parsed.success) {
    return parsed.error.issues.map((issue) => ({
      entry: name,
      problem: `${issue.path.join('.') || 'entry'}: ${issue.message}`,
    }));
  }
  return /^[a-z]+\.[a-z0-9][a-z0-9-]*$/.test(name)
    ? []
    : [
        {
          entry: name,
          problem: 'the name must have the form "kind.name", of lower-case letters, digits and "-"',
        },
      ];
}

function findReferenceProblems(
  document: PolicyDocument,
  name: string,
  entry: PolicyEntry,
): PolicyProblem[] {
  const problems: string[] = [];
  if ('labels' in entry) {
    problems.push(...findLabelProblems(document, entry.labels));
  }
  if (entry.kind === 'engine') {
    problems.push(...findEngineProblems(document, entry.place, entry.models));
  }
  if (entry.kind === 'selector') {
    for (const group of CONDITION_GROUPS) {
      problems.push(...findConditionProblems(document, group, entry[group]));
    }
  }
  return problems.map((problem) => ({ entry: name, problem }));
}

function findLabelProblems(document: PolicyDocument, labels: Labels): string[] {
  return Object.entries(labels).flatMap(([key, value]) => findValueProblems(document, key, value));
}

function findValueProblems(document: PolicyDocument, key: string, value: string): string[] {
  const declared = document[`label.${key}`];
  if (declared?.kind !== 'label') {
    return [`unknown label "${key}"`];
  }
  return declared.values.includes(value) ? [] : [`label "${key}" has no value "${value}"`];
}

function findEngineProblems(
  document: PolicyDocument,
  place: string,
  models: readonly string[],
): string[] {
  const unknownPlace = document[`place.${place}`] ? [] : [`unknown place "${place}"`];
  const unknownModels = models
    .filter((model) => !document[`model.${model}`])
    .map((model) => `unknown model "${model}"`);
  return [...unknownPlace, ...unknownModels];
}

function findConditionProblems(
  document: PolicyDocument,
  group: (typeof CONDITION_GROUPS)[number],
  conditions: Conditions,
): string[] {
  return Object.entries(conditions).flatMap(([key, values]) => {
    if (key !== NAME_CONDITION) {
      return values.flatMap((value) => findValueProblems(document, key, value));
    }
    if (group === 'data') {
      return ['data conditions match labels only, not "name"'];
    }
    return values
      .filter((value) => !document[`${group}.${value}`])
      .map((value) => `unknown ${group} "${value}"`);
  });
}

/** Counts the entries of each kind. */
export function countEntries(document: PolicyDocument): Record<string, number> {
  const kinds = ['label', 'place', 'engine', 'model', 'tenant', 'selector'] as const;
  return Object.fromEntries(kinds.map((kind) => [kind, entriesOfKind(document, kind).length]));
}
