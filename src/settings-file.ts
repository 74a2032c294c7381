/** Parses INI settings with a schema and reports all problems with section and line. */
import { safeParse } from 'zod/v4/core';
import type { $ZodType, output } from 'zod/v4/core';
import { parseIniSections } from './ini-sections.js';
import type { IniSection } from './ini-sections.js';
import { WeirvaleError } from './request/errors.js';
import { err, ok } from './result.js';
import type { Result } from './result.js';

/** A validation error in a settings file. */
export interface SettingsProblem {
  readonly section: string;
  readonly key: string;
  /** Line number in the file; undefined for a missing section or key. */
  readonly line: number | undefined;
  readonly problem: string;
}

/** The settings are invalid; contains all problems. */
export class InvalidSettingsError extends WeirvaleError {
  readonly code = 'invalid-settings';

  constructor(readonly problems: readonly SettingsProblem[]) {
    super(problems.map(describeSettingsProblem).join('\n'));
  }
}

/** Formats a problem as one line of text. */
export function describeSettingsProblem(problem: SettingsProblem): string {
  const line = problem.line === undefined ? '' : `line ${problem.line}: `;
  const key = problem.key === '' ? '' : ` ${problem.key}`;
  return `${line}[${problem.section}]${key}: ${problem.problem}`;
}

/** Validates constraints that involve several values; `at` creates a problem. */
export type CrossFieldValidator<Value> = (
  value: Value,
  at: (section: string, key: string, problem: string) => SettingsProblem,
) => SettingsProblem[];

/**
 * Parses settings.
 *
 * Unknown keys are reported as problems if the schema is strict, and ignored otherwise.
 * Constraints across fields are checked only if the settings match the schema.
 *
 * @returns the settings with defaults applied, or InvalidSettingsError with the problems found and
 *   their lines
 */
export function readSettings<Schema extends $ZodType>(
  text: string,
  schema: Schema,
  validateAcrossFields: CrossFieldValidator<output<Schema>> = () => [],
): Result<output<Schema>, InvalidSettingsError> {
  const sections = parseIniSections(text);
  const problems = findDuplicates(sections);
  const parsed = safeParse(schema, toObject(sections));
  if (!parsed.success) {
    for (const issue of parsed.error.issues) {
      const path = issue.path.map(String);
      const unknownKeys = issue.code === 'unrecognized_keys' ? issue.keys : [undefined];
      for (const unknownKey of unknownKeys) {
        problems.push(problemAt(sections, path, unknownKey, issue.message));
      }
    }
    return err(new InvalidSettingsError(problems));
  }
  const at = (section: string, key: string, problem: string) => ({
    section,
    key,
    line: lineOf(sections, section, key),
    problem,
  });
  problems.push(...validateAcrossFields(parsed.data, at));
  return problems.length > 0 ? err(new InvalidSettingsError(problems)) : ok(parsed.data);
}

function toObject(sections: readonly IniSection[]): Record<string, Record<string, string>> {
  const settings: Record<string, Record<string, string>> = {};
  for (const section of sections) {
    const values = settings[section.name] ?? {};
    for (const pair of section.pairs) {
      values[pair.key] = pair.value;
    }
    settings[section.name] = values;
  }
  return settings;
}

function findDuplicates(sections: readonly IniSection[]): SettingsProblem[] {
  const seen = new Set<string>();
  const problems: SettingsProblem[] = [];
  for (const section of sections) {
    for (const pair of section.pairs) {
      const name = `${section.name}.${pair.key}`;
      if (seen.has(name)) {
        const { line, key } = pair;
        problems.push({ section: section.name, key, line, problem: 'is set twice' });
      }
      seen.add(name);
    }
  }
  return problems;
}

function problemAt(
  sections: readonly IniSection[],
  path: readonly string[],
  unknownKey: string | undefined,
  message: string,
): SettingsProblem {
  const [section, key] = unknownKey === undefined ? path : [...path, unknownKey];
  const problem = unknownKey === undefined ? message : 'is no setting of weirvale';
  return {
    section: section ?? '',
    key: key ?? '',
    line: lineOf(sections, section, key),
    problem,
  };
}

function lineOf(
  sections: readonly IniSection[],
  sectionName: string | undefined,
  key: string | undefined,
): number | undefined {
  const section = sections.find((candidate) => candidate.name === sectionName);
  if (key === undefined) {
    return section?.line;
  }
  return section?.pairs.find((pair) => pair.key === key)?.line;
}
