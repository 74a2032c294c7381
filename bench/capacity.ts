/** Measures the slopes from which docs/CAPACITY.md is computed, and records them as JSON. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { PolicyReplica } from '../src/policy/replica.js';
import { applyEdits, policyDigest } from '../src/policy/change.js';
import type { ChangeRecord } from '../src/policy/change.js';
import { fitLine, median } from './linear-fit.js';
import { updatePage } from './capacity-page.js';
import type { CapacityResults, MessageCounts, Slope } from './capacity-page.js';
import { createLargePolicy, AgentHarness, EntryHarness } from './core-harness.js';

const isQuick = process.argv.includes('--quick');
const shouldRecord = process.argv.includes('--record');
const SAMPLES_PER_POINT = isQuick ? 3 : 7;
const REQUESTS_PER_SAMPLE = isQuick ? 800 : 3_000;
const AGENT_COUNTS = [8, 32, 64, 128];
const CHUNK_COUNTS = [1, 8, 32];
const POLICY_SIZES = isQuick ? [500, 2_000] : [500, 1_000, 2_000, 5_100];
const WAITING_COUNTS = [0, 1_000, 2_000, 4_000];
const RESULTS_FILE = 'docs/results/capacity.json';
const US_PER_SECOND = 1e6;

function cpuUsPerCall(callCount: number, call: () => void): number {
  const before = process.cpuUsage();
  for (let index = 0; index < callCount; index += 1) {
    call();
  }
  const spent = process.cpuUsage(before);
  return (spent.user + spent.system) / callCount;
}

function measure(
  name: string,
  unit: string,
  x: string,
  values: readonly number[],
  sample: (value: number) => number,
): Slope {
  const points = values.map((value) => {
    const samples = Array.from({ length: SAMPLES_PER_POINT }, () => sample(value));
    return { x: value, y: median(samples) };
  });
  const slope = { name, unit, x, points, fit: fitLine(points) };
  const { fit } = slope;
  const text = points.map((point) => `${point.x}: ${point.y.toFixed(1)}`).join(', ');
  process.stdout.write(
    `${name} [${unit}] by ${x}: ${text}; slope ${fit.slope.toPrecision(3)}, at 0 ${fit.intercept.toPrecision(3)}, r2 ${fit.rSquared.toFixed(3)}\n`,
  );
  return slope;
}

function entryCost(agentCount: number, chunkCount: number, issuesPermits = false): number {
  const entry = new EntryHarness(agentCount, chunkCount, issuesPermits);
  for (let index = 0; index < REQUESTS_PER_SAMPLE; index += 1) {
    entry.serveRequest();
  }
  return cpuUsPerCall(REQUESTS_PER_SAMPLE, () => entry.serveRequest());
}

function agentCost(entryCount: number, chunkCount: number): number {
  const agent = new AgentHarness(entryCount, chunkCount);
  for (let index = 0; index < REQUESTS_PER_SAMPLE; index += 1) {
    agent.serveRequest();
  }
  return cpuUsPerCall(REQUESTS_PER_SAMPLE, () => agent.serveRequest());
}

function idleCost(agentCount: number): number {
  const TICK_MS = 50;
  const IDLE_SECONDS = 60;
  const MS_PER_SECOND = 1_000;
  const entry = new EntryHarness(agentCount, 1);
  return cpuUsPerCall(IDLE_SECONDS, () => entry.idle(MS_PER_SECOND, TICK_MS));
}

function heapKb(create: () => unknown): number {
  const collect = globalThis.gc;
  const BYTES_PER_KB = 1_024;
  collect?.();
  const before = process.memoryUsage().heapUsed;
  const retained = create();
  collect?.();
  const after = process.memoryUsage().heapUsed;
  return retained === undefined ? 0 : (after - before) / BYTES_PER_KB;
}

function createReplica(engineCount: number): PolicyReplica {
  const replica = new PolicyReplica();
  const document = createLargePolicy(engineCount, 26, 290);
  replica.install({ form: 'full', generation: 1, document, recent: [] });
  return replica;
}

function createRecord(replica: PolicyReplica): ChangeRecord {
  const { document, generation } = replica.policy;
  const entry = 'engine.e7';
  const models = generation % 2 === 0 ? ['m'] : ['m', 'm'];
  const edits = [{ entry, after: { kind: 'engine' as const, place: 'p7', models, labels: {} } }];
  const digest = policyDigest(applyEdits(document, edits));
  const [author, summary, changeId] = ['operator', 'engine.e7: set state=drained', 'c'.repeat(36)];
  return { changeId, generation: generation + 1, author, atMs: 0, summary, edits, digest };
}

function installCost(engineCount: number): number {
  const replica = createReplica(engineCount);
  let spentUs = 0;
  const INSTALLS = 10;
  for (let index = 0; index < INSTALLS; index += 1) {
    const record = createRecord(replica);
    spentUs += cpuUsPerCall(1, () => replica.install({ form: 'delta', records: [record] }));
  }
  return spentUs / INSTALLS;
}

function createEntryWithWaiting(waitingCount: number): EntryHarness {
  const entry = new EntryHarness(64, 1);
  for (let index = 0; index < waitingCount; index += 1) {
    entry.addWaitingRequest();
  }
  return entry;
}

const nodeResidentMb = process.memoryUsage().rss / 2 ** 20;
const slopes = [
  measure('entry core and framing', 'us/request', 'agents connected', AGENT_COUNTS, (agents) =>
    entryCost(agents, 1),
  ),
  measure('entry core and framing', 'us/request', 'chunks of an answer', CHUNK_COUNTS, (chunks) =>
    entryCost(64, chunks),
  ),
  measure('entry under permits', 'us/request', 'agents connected', AGENT_COUNTS, (agents) =>
    entryCost(agents, 1, true),
  ),
  measure('agent core and framing', 'us/request', 'entries connected', AGENT_COUNTS, (entries) =>
    agentCost(entries, 1),
  ),
  measure('agent core and framing', 'us/request', 'chunks of an answer', CHUNK_COUNTS, (chunks) =>
    agentCost(64, chunks),
  ),
  measure('idle entry', 'us/s', 'agents connected', AGENT_COUNTS, idleCost),
  measure(
    'policy delta installed',
    'us/change',
    'engines in the policy',
    POLICY_SIZES,
    installCost,
  ),
  measure('policy held', 'KB heap', 'engines in the policy', POLICY_SIZES, (engines) =>
    heapKb(() => createReplica(engines)),
  ),
  measure('entry state', 'KB heap', 'agents connected', AGENT_COUNTS, (agents) =>
    heapKb(() => new EntryHarness(agents, 1)),
  ),
  measure('waiting requests', 'KB heap', 'requests waiting', WAITING_COUNTS, (count) =>
    heapKb(() => createEntryWithWaiting(count)),
  ),
];

function countMessages(issuesPermits: boolean): MessageCounts {
  const REQUEST_COUNT = 500;
  const harness = new EntryHarness(64, 1, issuesPermits);
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    harness.serveRequest();
  }
  return Object.fromEntries(
    [...harness.traffic].map(([kind, { messages, bytes }]) => [
      kind,
      { messages: messages / REQUEST_COUNT, bytes: Math.round(bytes / REQUEST_COUNT) },
    ]),
  );
}

const largest = createReplica(5_100);
const results: CapacityResults = {
  quick: isQuick,
  slopes,
  messagesPerRequest: { bids: countMessages(false), permits: countMessages(true) },
  fullPolicyBytes: JSON.stringify(largest.policy.document).length,
  deltaBytes: JSON.stringify(createRecord(largest)).length,
  nodeResidentMb,
};
for (const [grantMode, counts] of Object.entries(results.messagesPerRequest)) {
  for (const [kind, { messages, bytes }] of Object.entries(counts)) {
    process.stdout.write(
      `${grantMode}: ${kind} ${messages.toFixed(2)} messages, ${bytes} bytes per request\n`,
    );
  }
}
process.stdout.write(
  `policy of 5,100 engines: ${results.fullPolicyBytes} bytes in full, ${results.deltaBytes} bytes per delta; ${US_PER_SECOND} us of CPU time per CPU second\n`,
);
if (shouldRecord) {
  mkdirSync('docs/results', { recursive: true });
  writeFileSync(RESULTS_FILE, `${JSON.stringify(results, null, 2)}\n`);
  updatePage(results);
}
