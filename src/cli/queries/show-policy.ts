/** Queries of the policy: check, diff, show, history, explain. */
import { findEdits } from '../../policy/change.js';
import { explainRequest } from '../../policy/explain.js';
import type { EngineExplanation, RequestExplanation } from '../../policy/explain.js';
import { formatPolicyIni } from '../../policy/ini-policy.js';
import { countEntries } from '../../policy/validate.js';
import {
  openPlatform,
  print,
  readCompiledPolicy,
  readPolicy,
  readPolicyFile,
  splitPair,
} from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

/** Checks a policy file without touching the platform. */
export function checkPolicyFile(path: string, options: GlobalOptions): void {
  const counts = countEntries(readPolicyFile(path));
  const text = Object.entries(counts)
    .map(([kind, count]) => `${count} ${kind}s`)
    .join(', ');
  print(options, counts, `${path} is usable: ${text}`);
}

/** Shows what applying a file would change; exit code 5 if it would change anything. */
export async function diffPolicyFile(path: string, options: GlobalOptions): Promise<void> {
  const wanted = readPolicyFile(path);
  const stored = await readPolicy(openPlatform(options));
  const edits = findEdits(stored.document, wanted);
  const text = edits
    .map(({ entry, after }) => {
      const mark = after === null ? '-' : stored.document[entry] === undefined ? '+' : '~';
      return `${mark} ${entry}`;
    })
    .join('\n');
  print(options, edits, edits.length === 0 ? 'no difference' : text);
  if (edits.length > 0) {
    process.exitCode = EXIT.differs;
  }
}

/** Shows the policy in force. */
export async function showPolicy(options: GlobalOptions): Promise<void> {
  const stored = await readPolicy(openPlatform(options));
  const { generation } = stored.head;
  const text = `; generation ${generation}\n${formatPolicyIni(stored.document)}`;
  print(options, { generation, document: stored.document }, text);
}

/** Shows the latest accepted changes, newest first. */
export async function showHistory(options: GlobalOptions): Promise<void> {
  const { recent } = (await readPolicy(openPlatform(options))).head;
  const newestFirst = [...recent].reverse();
  const text = newestFirst
    .map((record) => {
      const at = new Date(record.atMs).toISOString();
      return `${record.generation}  ${at}  ${record.author}  ${record.summary}`;
    })
    .join('\n');
  print(options, newestFirst, text === '' ? 'no change yet' : text);
}

/** What `explain` is asked. */
export interface ExplainOptions extends GlobalOptions {
  readonly tenant: string;
  readonly model: string;
  readonly label: readonly string[];
}

/** Explains which engines a request may use and why not the others. */
export async function explain(options: ExplainOptions): Promise<void> {
  const policy = await readCompiledPolicy(options);
  const explanation = explainRequest(policy, {
    tenant: options.tenant,
    model: options.model,
    dataLabels: Object.fromEntries(options.label.map(splitPair)),
  });
  print(options, explanation, formatExplanation(explanation));
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
