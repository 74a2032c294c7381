/** Runs a whole fleet as separate processes on loopback, and ends exactly those. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { WeirvaleError } from '../request/errors.js';
import type { FleetMember } from './fleet-file.js';

/** The fleet could not be started. */
export class FleetStartError extends WeirvaleError {
  readonly code = 'fleet-start-failed';
}

/** A process of the fleet. */
export interface FleetProcess {
  readonly name: string;
  readonly kind: 'platform' | 'entry' | 'agent' | 'engine' | 'service';
  readonly place: string;
  readonly child: ChildProcess;
  /** Its main port: callers for an entry, HTTP for a stand-in. */
  readonly port: number;
  readonly operatorsPort: number;
}

interface PortLine {
  readonly port?: number;
  readonly ports?: { callers?: number; protocol?: number; operators: number };
}

const BIN_DIRECTORY = join(dirname(fileURLToPath(import.meta.url)), '..', 'bin');
const START_TIMEOUT_MS = 15_000;
const READY_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 5_000;
const POLL_MS = 50;

/** A whole fleet as separate processes. */
export class LocalFleet {
  readonly processes: FleetProcess[] = [];
  readonly directory = mkdtempSync(join(tmpdir(), 'weirvale-demo-'));
  private platformUrl = '';

  /** Starts the platform stand-in and puts `policyFile` in force by the command-line tool. */
  async startPlatform(policyFile: string): Promise<void> {
    const platform = await this.start('platform', 'platform', '', 'standin.js', ['platform']);
    this.platformUrl = `http://127.0.0.1:${platform.port}`;
    await this.runTool(['--platform', this.platformUrl, 'policy', 'apply', policyFile]);
  }

  /** Starts every member of the fleet and waits until each entry is connected to every agent. */
  async startMembers(members: readonly FleetMember[]): Promise<void> {
    const backends = members.filter((member) => member.kind !== 'entry');
    await Promise.all(backends.map((member) => this.startBackend(member)));
    const entries = members.filter((member) => member.kind === 'entry');
    await Promise.all(entries.map((member) => this.startDaemon(member, 'entry', '')));
    await Promise.all(
      this.ofKind('entry').map((entry) => waitUntilConnected(entry, backends.length)),
    );
  }

  /** The processes of one kind. */
  ofKind(kind: FleetProcess['kind']): FleetProcess[] {
    return this.processes.filter((member) => member.kind === kind);
  }

  /** Ends a process as a crash does. */
  kill(member: FleetProcess): void {
    member.child.kill('SIGKILL');
  }

  /** Runs the command-line tool and returns what it printed. */
  async runTool(args: readonly string[]): Promise<string> {
    const child = spawn(process.execPath, [join(BIN_DIRECTORY, 'weirvale.js'), ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let output = '';
    child.stdout.on('data', (bytes: Buffer) => (output += bytes.toString()));
    const code = await new Promise((resolve) => child.on('close', resolve));
    if (code !== 0) {
      throw new FleetStartError(`weirvale ${args.join(' ')} ended with ${String(code)}`);
    }
    return output;
  }

  /** The platform's base URL. */
  get platform(): string {
    return this.platformUrl;
  }

  /** Ends every process that this fleet started: agents and entries in good order, all within seconds. */
  async stop(): Promise<void> {
    for (const kind of ['entry', 'agent', 'engine', 'service', 'platform'] as const) {
      await Promise.all(this.ofKind(kind).map((member) => stopProcess(member.child)));
    }
  }

  private async startBackend(member: FleetMember): Promise<void> {
    const { values, name, kind } = member;
    const options =
      kind === 'service'
        ? ['--latency', values['latency'] ?? '20']
        : ['prefill', 'step', 'capacity'].flatMap((key) => [`--${key}`, values[key] ?? '1']);
    const backendKind = kind as 'engine' | 'service';
    const place = values['place'] ?? '';
    const backend = await this.start(name, backendKind, place, 'standin.js', [kind, ...options]);
    const lines = [
      `backendUrl = http://127.0.0.1:${backend.port}`,
      `backendKind = ${kind}`,
      `capacity = ${values['capacity'] ?? '8'}`,
    ];
    await this.startDaemon(member, 'agent', `[agent]\n${lines.join('\n')}\n`);
  }

  private async startDaemon(
    member: FleetMember,
    role: 'entry' | 'agent',
    extra: string,
  ): Promise<void> {
    const { name, values } = member;
    const file = join(this.directory, `${name}.ini`);
    writeFileSync(file, describeSettings(name, role, values, this.platformUrl) + extra);
    await this.start(name, role, values['place'] ?? '', 'weirvaled.js', ['--config', file]);
  }

  private async start(
    name: string,
    kind: FleetProcess['kind'],
    place: string,
    program: string,
    args: readonly string[],
  ): Promise<FleetProcess> {
    const child = spawn(process.execPath, [join(BIN_DIRECTORY, program), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.directory, `${kind}-${name}.log`));
    child.stdout.pipe(log);
    child.stderr.pipe(log, { end: false });
    const line = await readPortLine(child, `${kind} ${name}`);
    const member: FleetProcess = {
      name,
      kind,
      place,
      child,
      port: line.port ?? line.ports?.callers ?? line.ports?.protocol ?? 0,
      operatorsPort: line.ports?.operators ?? 0,
    };
    this.processes.push(member);
    return member;
  }
}

function describeSettings(
  name: string,
  role: string,
  values: Readonly<Record<string, string>>,
  platformUrl: string,
): string {
  return [
    '[process]',
    `role = ${role}`,
    `name = ${name}`,
    `region = ${values['region']}`,
    `zone = ${values['zone']}`,
    `place = ${values['place']}`,
    '[platform]',
    `keyValueUrl = ${platformUrl}`,
    `liveListUrl = ${platformUrl}`,
    'liveListPollMs = 500',
    '',
  ].join('\n');
}

function readPortLine(child: ChildProcess, what: string): Promise<PortLine> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new FleetStartError(`${what} did not start in time`)),
      START_TIMEOUT_MS,
    );
    child.on('exit', (code) => reject(new FleetStartError(`${what} ended with ${String(code)}`)));
    const lines = createInterface({ input: child.stdout! });
    lines.on('line', (text) => {
      if (text.includes('"port')) {
        clearTimeout(timer);
        resolve(JSON.parse(text) as PortLine);
      }
    });
  });
}

async function waitUntilConnected(entry: FleetProcess, agentCount: number): Promise<void> {
  const attempts = READY_TIMEOUT_MS / POLL_MS;
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    const response = await request(`http://127.0.0.1:${entry.operatorsPort}/status`);
    const status = (await response.body.json()) as { agents: Array<{ connectivity: string }> };
    const connected = status.agents.filter((agent) => agent.connectivity === 'connected');
    if (connected.length >= agentCount) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new FleetStartError(`${entry.name} is not connected to ${agentCount} agents`);
}

async function stopProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return;
  }
  const exited = new Promise((resolve) => child.once('exit', resolve));
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
  await exited;
  clearTimeout(timer);
}
