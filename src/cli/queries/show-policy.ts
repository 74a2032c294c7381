/** Policy queries: check, diff, show, history, explain. */
import { diffPolicies } from '../../policy/change.js';
import { explainRequest } from '../../policy/explain.js';
import type { EngineExplanation, RequestExplanation } from '../../policy/explain.js';
import { formatPolicyIni } from '../../policy/ini-policy.js';
import { countEntries } from '../../policy/validate.js';
import {
  createKeyValueClient,
  printOutput,
  readCompiledPolicy,
  readPolicy,
  readPolicyFile,
  parsePair,
} from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

/** Validates a policy file without contacting the platform. */
export function checkPolicyFile(path: string, options: GlobalOptions): void {
  const counts = countEntries(readPolicyFile(path));
  const text = Object.entries(counts)
    .map(([kind, count]) => `${count} ${kind}s`)
    .join(', ');
  printOutput(options, counts, `${path} is usable: ${text}`);
}

/** Shows what applying a policy file would change; exit code 5 if it would change anything. */
export async function diffPolicyFile(path: string, options: GlobalOptions): Promise<void> {
  const desired = readPolicyFile(path);
  const stored = await readPolicy(createKeyValueClient(options));
  const edits = diffPolicies(stored.document, desired);
  const text = edits
    .map(({ entry, after }) => {
      const sign = after === null ? '-' : stored.document[entry] === undefined ? '+' : '~';
      return `${sign} ${entry}`;
    })
    .join('\n');
  printOutput(options, edits, edits.length === 0 ? 'no differences' : text);
  if (edits.length > 0) {
    process.exitCode = EXIT.differs;
  }
}

/** Shows the active policy. */
export async function showPolicy(options: GlobalOptions): Promise<void> {
  const stored = await readPolicy(createKeyValueClient(options));
  const { generation } = stored.head;
  const text = `; generation ${generation}\n${formatPolicyIni(stored.document)}`;
  printOutput(options, { generation, document: stored.document }, text);
}

/** Shows the most recent accepted changes, newest first. */
export async function showHistory(options: GlobalOptions): Promise<void> {
  const { recent } = (await readPolicy(createKeyValueClient(options))).head;
  const newestFirst = [...recent].reverse();
  const text = newestFirst
    .map((record) => {
      const time = new Date(record.atMs).toISOString();
      return `${record.generation}  ${time}  ${record.author}  ${record.summary}`;
    })
    .join('\n');
  printOutput(options, newestFirst, text === '' ? 'no changes yet' : text);
}

/** Options of the `explain` command: the request to evaluate. */
export interface ExplainOptions extends GlobalOptions {
  readonly tenant: string;
  readonly model: string;
  readonly label: readonly string[];
}

/** Explains which engines a request may use, and why others are excluded. */
export async function explainPolicy(options: ExplainOptions): Promise<void> {
  const policy = await readCompiledPolicy(options);
  const explanation = explainRequest(policy, {
    tenant: options.tenant,
    model: options.model,
    dataLabels: Object.fromEntries(options.label.map(parsePair)),
  });
  printOutput(options, explanation, formatExplanation(explanation));
}

function formatExplanation(explanation: RequestExplanation): string {
  const { generation, tier, selector } = explanation;
  const head =
    tier === undefined
      ? `generation ${generation}: permitted nowhere`
      : `generation ${generation}: tier ${tier} by selector ${selector}`;
  return [head, ...explanation.engines.map(formatEngine)].join('\n');
}

function formatEngine({ engine, place, decision }: EngineExplanation): string {
  if (decision.allowed) {
    return `  yes  ${engine} (${place}): tier ${decision.tier} by ${decision.selector}`;
  }
  const selector = decision.selector === undefined ? '' : ` ${decision.selector}`;
  return `  no   ${engine} (${place}): ${decision.reason}${selector}`;
}
