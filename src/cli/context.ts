/** Shared by all commands: access to the platform, output, and errors with an exit code. */
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

/** Options that every command accepts. */
export interface GlobalOptions {
  /** Base URL of the platform's key-value service. */
  readonly platform?: string;
  readonly json?: boolean;
}

/** Ends a command with an exit code and an error message for the user. */
export class CommandError extends WeirvaleError {
  readonly code = 'command-failed';

  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
  }
}

const PLATFORM_ENV_VARIABLE = 'WEIRVALE_PLATFORM';
const CALL_TIMEOUT_MS = 3_000;

/**
 * Creates a client of the platform's key-value service; its URL is an option or an environment
 * variable.
 */
export function createKeyValueClient(options: GlobalOptions): KeyValueClient {
  const url = options.platform ?? process.env[PLATFORM_ENV_VARIABLE];
  if (url === undefined) {
    throw new CommandError(
      EXIT.badInput,
      `no platform URL: use --platform or set ${PLATFORM_ENV_VARIABLE}`,
    );
  }
  return new HttpKeyValueClient(url, CALL_TIMEOUT_MS);
}

/** Reads the stored policy from the platform's key-value service. */
export async function readPolicy(client: KeyValueClient): Promise<StoredPolicy> {
  const stored = await readStoredPolicy(client);
  if (!stored.ok) {
    throw new CommandError(EXIT.platformUnavailable, stored.val.message);
  }
  return stored.val;
}

/** Reads the stored policy and compiles it, so that requests can be evaluated against it. */
export async function readCompiledPolicy(options: GlobalOptions): Promise<CompiledPolicy> {
  const stored = await readPolicy(createKeyValueClient(options));
  return compilePolicy(stored.document, stored.head.generation);
}

/** Reads and validates a policy file; the error lists every problem. */
export function readPolicyFile(path: string): PolicyDocument {
  const parsed = parsePolicyIni(readInputFile(path));
  if (!parsed.ok) {
    const lines = parsed.val.problems.map((problem) => `${path}: ${describeProblem(problem)}`);
    throw new CommandError(EXIT.badInput, lines.join('\n'));
  }
  return parsed.val;
}

/** Reads a file given on the command line. */
export function readInputFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (cause) {
    throw new CommandError(EXIT.badInput, `cannot read ${path}: ${(cause as Error).message}`);
  }
}

/** Converts the error of a policy change to an error message and an exit code. */
export function toCommandError(error: PolicyChangeError): CommandError {
  switch (error.code) {
    case 'policy-conflict': {
      const stored =
        error.storedEntry === undefined ? 'removed\n' : formatEntry(error.entry, error.storedEntry);
      const requested =
        error.requestedEntry === undefined
          ? 'removed\n'
          : formatEntry(error.entry, error.requestedEntry);
      const message = `${error.message}\n--- active\n${stored}--- yours\n${requested}`;
      return new CommandError(EXIT.conflict, message);
    }
    case 'invalid-policy': {
      const lines = error.problems.map(describeProblem);
      return new CommandError(EXIT.badInput, lines.join('\n'));
    }
    case 'policy-store-unavailable':
      return new CommandError(EXIT.platformUnavailable, error.message);
  }
}

/** Prints `text`, or `value` as JSON if that is requested. */
export function printOutput(options: GlobalOptions, value: unknown, text: string): void {
  const output = options.json === true ? JSON.stringify(value, null, 2) : text;
  process.stdout.write(output.endsWith('\n') ? output : `${output}\n`);
}

function formatEntry(name: string, entry: PolicyDocument[string]): string {
  return formatPolicyIni({ [name]: entry });
}

/** Parses a `key=value` argument. */
export function parsePair(pair: string): [string, string] {
  const equals = pair.indexOf('=');
  if (equals < 1) {
    throw new CommandError(EXIT.badInput, `"${pair}" is not of the form key=value`);
  }
  return [pair.slice(0, equals), pair.slice(equals + 1)];
}

/** Shows a progress bar on the terminal. */
export function showProgress(done: number, total: number): void {
  const WIDTH = 40;
  const filled = Math.floor((done / total) * WIDTH);
  const bar = '#'.repeat(filled).padEnd(WIDTH, '.');
  process.stderr.write(`\r[${bar}] ${done}/${total}`);
}
