#!/usr/bin/env node
/**
 * Demo: runs a fleet on loopback under a mixed load and checks the results at callers and backends.
 */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Command } from 'commander';
import { callEntry } from '../demo/demo-caller.js';
import type { CallerOutcome, PlannedRequest } from '../demo/demo-caller.js';
import { findViolations, formatReport, fetchBackendRecords } from '../demo/demo-report.js';
import { readFleet, readWorkload } from '../demo/demo-files.js';
import type { WorkloadClass } from '../demo/demo-files.js';
import { LocalFleet } from '../demo/local-fleet.js';
import type { FleetProcess } from '../demo/local-fleet.js';
import { SeededRandom } from '../random.js';

interface DemoOptions {
  readonly deployment: string;
  readonly requests: string;
  readonly rate: string;
  readonly kill?: 'agent' | 'entry';
}

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..');
const KILL_AFTER_SHARE = 0.4;
const MAX_FAULTS_SHOWN = 10;

async function main(): Promise<void> {
  const program = new Command('demo')
    .description('Runs a fleet on loopback under a mixed load and checks every response')
    .option('--deployment <name>', 'example deployment: factoring or guild', 'factoring')
    .option('--requests <count>', 'total number of requests', '400')
    .option('--rate <perSecond>', 'requests per second', '40')
    .option('--kill <role>', 'kill one process of this role (agent or entry) during the load');
  program.parse();
  const options = program.opts<DemoOptions>();
  const directory = join(REPOSITORY, 'examples', options.deployment);
  const fleet = new LocalFleet();
  let faults: string[] = ['the demo did not complete'];
  try {
    print('starting the fake platform and applying the example policy');
    await fleet.startPlatform(join(directory, 'policy.ini'));
    print('starting engines, services, agents and entries');
    await fleet.startMembers(readFleet(directory));
    print(`${fleet.processes.length} processes are running; logs are in ${fleet.directory}`);
    faults = await runLoad(fleet, readWorkload(directory), options);
  } finally {
    print('stopping all processes');
    await fleet.stop();
  }
  for (const fault of faults.slice(0, MAX_FAULTS_SHOWN)) {
    print(`FAULT: ${fault}`);
  }
  print(faults.length === 0 ? 'all checks passed' : `${faults.length} faults`);
  process.exitCode = faults.length === 0 ? 0 : 1;
}

async function runLoad(
  fleet: LocalFleet,
  workload: readonly WorkloadClass[],
  options: DemoOptions,
): Promise<string[]> {
  const planned = planRequests(workload, Number(options.requests));
  const entries = fleet.processesOfKind('entry');
  const pending: Array<Promise<CallerOutcome>> = [];
  const intervalMs = 1_000 / Number(options.rate);
  const startedAtMs = performance.now();
  for (const [index, request] of planned.entries()) {
    const dueInMs = startedAtMs + index * intervalMs - performance.now();
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, dueInMs)));
    if (options.kill !== undefined && index === Math.floor(planned.length * KILL_AFTER_SHARE)) {
      const target = fleet.processesOfKind(options.kill)[0]!;
      print(`killing ${options.kill} ${target.name}`);
      fleet.kill(target);
    }
    pending.push(callRoundRobin(entries, index, request));
    if ((index + 1) % 100 === 0) {
      print(`${index + 1} of ${planned.length} requests sent`);
    }
  }
  const outcomes = await Promise.all(pending);
  const backends = [...fleet.processesOfKind('engine'), ...fleet.processesOfKind('service')];
  const backendReports = await Promise.all(backends.map(fetchBackendRecords));
  process.stdout.write(`\n${formatReport(workload, outcomes, backendReports)}\n\n`);
  return findViolations(workload, outcomes, backendReports, options.kill !== undefined);
}

/** Sends a request to the entries in round-robin order, skipping any that refuses connections. */
async function callRoundRobin(
  entries: readonly FleetProcess[],
  index: number,
  planned: PlannedRequest,
): Promise<CallerOutcome> {
  let outcome: CallerOutcome | undefined;
  for (let attempt = 0; attempt < entries.length; attempt += 1) {
    const entry = entries[(index + attempt) % entries.length]!;
    outcome = await callEntry(`http://127.0.0.1:${entry.port}`, planned);
    if (!outcome.reason.includes('ECONNREFUSED')) {
      return outcome;
    }
  }
  return outcome!;
}

function planRequests(workload: readonly WorkloadClass[], count: number): PlannedRequest[] {
  const random = new SeededRandom(1);
  const weightedClasses = workload.flatMap((requestClass) =>
    Array.from({ length: requestClass.share }, () => requestClass),
  );
  return Array.from({ length: count }, (_, sequence) => {
    const requestClass = weightedClasses[Math.floor(random.next() * weightedClasses.length)]!;
    return {
      workload: requestClass,
      sequence,
      input: requestClass.inputs[sequence % requestClass.inputs.length]!,
    };
  });
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

await main();
