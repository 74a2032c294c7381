/** Reads the files of a demo deployment: fleet, workload and inputs. */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseIniSections } from '../ini-sections.js';

/** One section of the fleet file: an entry, or a backend with its agent. */
export interface FleetMember {
  readonly kind: 'entry' | 'engine' | 'service';
  readonly name: string;
  readonly values: Readonly<Record<string, string>>;
}

/** One class of requests in the workload. */
export interface WorkloadClass {
  readonly name: string;
  readonly key: string;
  readonly model: string;
  /** Path below the plain service's URL; undefined for a model. */
  readonly path: string | undefined;
  readonly data: string;
  readonly inputs: readonly string[];
  readonly maxTokens: number;
  readonly deadlineMs: number;
  /** Relative weight of this class among all requests. */
  readonly share: number;
  /** Places that the example policy permits; the final check compares actual runs with them. */
  readonly places: readonly string[];
  readonly isRepeatable: boolean;
}

/** Reads `fleet.ini` in `directory`. */
export function readFleet(directory: string): FleetMember[] {
  return readSections(join(directory, 'fleet.ini')).map(({ name, values }) => {
    const [kind, member] = splitName(name);
    return { kind: kind as FleetMember['kind'], name: member, values };
  });
}

/** Reads `workload.ini` in `directory`, and the input files that it names. */
export function readWorkload(directory: string): WorkloadClass[] {
  return readSections(join(directory, 'workload.ini')).map(({ name, values }) => {
    const files = splitList(values['inputs'] ?? '');
    return {
      name: splitName(name)[1],
      key: values['key'] ?? '',
      model: values['model'] ?? '',
      path: values['path'],
      data: values['data'] ?? '',
      inputs: files.flatMap((file) => readInputs(join(directory, 'inputs', file))),
      maxTokens: Number(values['maxTokens'] ?? '0'),
      deadlineMs: Number(values['deadlineMs']),
      share: Number(values['share']),
      places: splitList(values['places'] ?? ''),
      isRepeatable: values['repeatable'] !== 'false',
    };
  });
}

/**
 * Reads an input file. If all lines are short and each is a question or JSON, every line is one
 * input; otherwise the whole file is.
 */
function readInputs(path: string): string[] {
  const MAX_LINE_CHARACTERS = 200;
  const text = readFileSync(path, 'utf8');
  const lines = text.split('\n').filter((line) => line.length > 0);
  const isList = lines.every((line) => line.endsWith('?') || line.startsWith('{'));
  return isList && lines.every((line) => line.length <= MAX_LINE_CHARACTERS) ? lines : [text];
}

function readSections(path: string): Array<{ name: string; values: Record<string, string> }> {
  return parseIniSections(readFileSync(path, 'utf8'))
    .filter((section) => section.name !== '')
    .map(({ name, pairs }) => ({
      name,
      values: Object.fromEntries(pairs.map(({ key, value }) => [key, value])),
    }));
}

function splitName(name: string): [string, string] {
  const dot = name.indexOf('.');
  return [name.slice(0, dot), name.slice(dot + 1)];
}

function splitList(text: string): string[] {
  return text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');
}
