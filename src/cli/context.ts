/** What the commands of the tool share: the platform, output, and the way failures end a command. */
import { readFileSync } from 'node:fs';
import { HttpKeyValueClient } from '../key-value/http-key-value.js';
import type { KeyValueClient } from '../key-value/key-value.js';
import { compilePolicy } from '../policy/compiled-policy.js';
import type { CompiledPolicy } from '../policy/compiled-policy.js';
import type { PolicyDocument } from '../policy/document.js';
import { describeProblem } from '../policy/errors.js';
import { formatPolicyIni, parsePolicyIni } from '../policy/ini-policy.js';
import { readStoredPolicy } from '../policy/store.js';
import type { PolicyChangeError, StoredPolicy } from '../policy/store.js';
import { WeirvaleError } from '../request/errors.js';
import { EXIT } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';

/** Options that every command takes. */
export interface GlobalOptions {
  /** Base URL of the platform's key-value service. */
  readonly platform?: string;
  readonly json?: boolean;
}

/** Ends a command with an exit code and a message for the person. */
export class CommandFailure extends WeirvaleError {
  readonly code = 'command-failed';

  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
  }
}

const PLATFORM_VARIABLE = 'WEIRVALE_PLATFORM';
const CALL_TIMEOUT_MS = 3_000;

/** The platform's key-value service as the options name it. */
export function openPlatform(options: GlobalOptions): KeyValueClient {
  const url = options.platform ?? process.env[PLATFORM_VARIABLE];
  if (url === undefined) {
    throw new CommandFailure(
      EXIT.badInput,
      `name the platform by --platform or ${PLATFORM_VARIABLE}`,
    );
  }
  return new HttpKeyValueClient(url, CALL_TIMEOUT_MS);
}

/** The policy in the platform's service. */
export async function readPolicy(client: KeyValueClient): Promise<StoredPolicy> {
  const stored = await readStoredPolicy(client);
  if (!stored.ok) {
    throw new CommandFailure(EXIT.platformUnavailable, stored.val.message);
  }
  return stored.val;
}

/** The policy in the platform's service, ready for decisions. */
export async function readCompiledPolicy(options: GlobalOptions): Promise<CompiledPolicy> {
  const stored = await readPolicy(openPlatform(options));
  return compilePolicy(stored.document, stored.head.generation);
}

/** Reads a policy file. */
export function readPolicyFile(path: string): PolicyDocument {
  const parsed = parsePolicyIni(readInput(path));
  if (!parsed.ok) {
    const lines = parsed.val.problems.map((problem) => `${path}: ${describeProblem(problem)}`);
    throw new CommandFailure(EXIT.badInput, lines.join('\n'));
  }
  return parsed.val;
}

/** Reads a file that the person named. */
export function readInput(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (cause) {
    throw new CommandFailure(EXIT.badInput, `cannot read ${path}: ${(cause as Error).message}`);
  }
}

/** The failure of a change as the end of a command. */
export function changeFailure(error: PolicyChangeError): CommandFailure {
  switch (error.code) {
    case 'policy-conflict': {
      const theirs =
        error.theirs === undefined ? 'removed\n' : formatOne(error.entry, error.theirs);
      const yours = error.yours === undefined ? 'removed\n' : formatOne(error.entry, error.yours);
      const message = `${error.message}\n--- in force\n${theirs}--- yours\n${yours}`;
      return new CommandFailure(EXIT.conflict, message);
    }
    case 'invalid-policy': {
      const lines = error.problems.map(describeProblem);
      return new CommandFailure(EXIT.badInput, lines.join('\n'));
    }
    case 'policy-store-unavailable':
      return new CommandFailure(EXIT.platformUnavailable, error.message);
  }
}

/** Writes text for a person, or the same as JSON. */
export function print(options: GlobalOptions, value: unknown, text: string): void {
  const output = options.json === true ? JSON.stringify(value, null, 2) : text;
  process.stdout.write(output.endsWith('\n') ? output : `${output}\n`);
}

function formatOne(name: string, entry: PolicyDocument[string]): string {
  return formatPolicyIni({ [name]: entry });
}

/** Splits a `key=value` argument. */
export function splitPair(pair: string): [string, string] {
  const equals = pair.indexOf('=');
  if (equals < 1) {
    throw new CommandFailure(EXIT.badInput, `"${pair}" is not key=value`);
  }
  return [pair.slice(0, equals), pair.slice(equals + 1)];
}

/** Shows on the terminal how many of all parts are done. */
export function showProgress(done: number, all: number): void {
  const WIDTH = 40;
  const filled = Math.floor((done / all) * WIDTH);
  const bar = '#'.repeat(filled).padEnd(WIDTH, '.');
  process.stderr.write(`\r[${bar}] ${done}/${all}`);
}
