#!/usr/bin/env node
/** The demo: a whole fleet on loopback under a mixed load, checked at callers and back ends. */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Command } from 'commander';
import { callEntry } from '../demo/demo-caller.js';
import type { CallerOutcome, PlannedRequest } from '../demo/demo-caller.js';
import { findFaults, formatReport, readAccount } from '../demo/demo-report.js';
import { readFleet, readWorkload } from '../demo/fleet-file.js';
import type { WorkloadClass } from '../demo/fleet-file.js';
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
const KILL_AT_SHARE = 0.4;
const MAX_FAULTS_SHOWN = 10;

async function main(): Promise<void> {
  const program = new Command('demo')
    .description('Runs a fleet on loopback under a mixed load and checks every answer')
    .option('--deployment <name>', 'factoring or guild', 'factoring')
    .option('--requests <count>', 'requests in all', '400')
    .option('--rate <perSecond>', 'requests a second', '40')
    .option('--kill <role>', 'kill one agent or entry in the middle of the load');
  program.parse();
  const options = program.opts<DemoOptions>();
  const directory = join(REPOSITORY, 'examples', options.deployment);
  const fleet = new LocalFleet();
  let faults: string[] = ['the demo did not finish'];
  try {
    say('starting the platform stand-in and applying the example policy');
    await fleet.startPlatform(join(directory, 'policy.ini'));
    say('starting engines, services, agents and entries');
    await fleet.startMembers(readFleet(directory));
    say(`${fleet.processes.length} processes run; logs are in ${fleet.directory}`);
    faults = await runLoad(fleet, readWorkload(directory), options);
  } finally {
    say('stopping what was started');
    await fleet.stop();
  }
  for (const fault of faults.slice(0, MAX_FAULTS_SHOWN)) {
    say(`FAULT: ${fault}`);
  }
  say(faults.length === 0 ? 'every promise held' : `${faults.length} faults`);
  process.exitCode = faults.length === 0 ? 0 : 1;
}

async function runLoad(
  fleet: LocalFleet,
  workload: readonly WorkloadClass[],
  options: DemoOptions,
): Promise<string[]> {
  const planned = planRequests(workload, Number(options.requests));
  const entries = fleet.ofKind('entry');
  const pending: Array<Promise<CallerOutcome>> = [];
  const intervalMs = 1_000 / Number(options.rate);
  const startedAtMs = performance.now();
  for (const [index, request] of planned.entries()) {
    const dueInMs = startedAtMs + index * intervalMs - performance.now();
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, dueInMs)));
    if (options.kill !== undefined && index === Math.floor(planned.length * KILL_AT_SHARE)) {
      const victim = fleet.ofKind(options.kill)[0]!;
      say(`killing ${options.kill} ${victim.name}`);
      fleet.kill(victim);
    }
    pending.push(callThroughBalancer(entries, index, request));
    if ((index + 1) % 100 === 0) {
      say(`${index + 1} of ${planned.length} requests sent`);
    }
  }
  const outcomes = await Promise.all(pending);
  const backends = [...fleet.ofKind('engine'), ...fleet.ofKind('service')];
  const accounts = await Promise.all(backends.map(readAccount));
  process.stdout.write(`\n${formatReport(workload, outcomes, accounts)}\n\n`);
  return findFaults(workload, outcomes, accounts, options.kill !== undefined);
}

/** Calls the next entry in turn; one that refuses connections is passed over, as a balancer does. */
async function callThroughBalancer(
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
  const deck = workload.flatMap((one) => Array.from({ length: one.share }, () => one));
  return Array.from({ length: count }, (_, sequence) => {
    const one = deck[Math.floor(random.next() * deck.length)]!;
    return { workload: one, sequence, input: one.inputs[sequence % one.inputs.length]! };
  });
}

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

await main();
