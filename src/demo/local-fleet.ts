/** Runs a complete fleet as separate processes on loopback, and stops exactly those processes. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { WeirvaleError } from '../request/errors.js';
import type { FleetMember } from './demo-files.js';

/** A process or command of the fleet failed, or did not become ready in time. */
export class FleetStartError extends WeirvaleError {
  readonly code = 'fleet-start-failed';
}

/** A running process of the fleet. */
export interface FleetProcess {
  readonly name: string;
  readonly kind: 'platform' | 'entry' | 'agent' | 'engine' | 'service';
  readonly place: string;
  readonly child: ChildProcess;
  /** Main port: callers' port of an entry, protocol port of an agent, HTTP port of a stand-in. */
  readonly port: number;
  readonly operatorsPort: number;
}

interface PortsMessage {
  readonly port?: number;
  readonly ports?: { callers?: number; protocol?: number; operators: number };
}

const BIN_DIRECTORY = join(dirname(fileURLToPath(import.meta.url)), '..', 'bin');
const START_TIMEOUT_MS = 15_000;
const READY_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 5_000;
const POLL_MS = 50;

/** A fleet of local processes, with its platform stand-in. */
export class LocalFleet {
  readonly processes: FleetProcess[] = [];
  readonly directory = mkdtempSync(join(tmpdir(), 'weirvale-demo-'));
  private platformUrl = '';

  /** Starts the platform stand-in and applies `policyFile` with the command-line tool. */
  async startPlatform(policyFile: string): Promise<void> {
    const platform = await this.start('platform', 'platform', '', 'standin.js', ['platform']);
    this.platformUrl = `http://127.0.0.1:${platform.port}`;
    await this.runCommand(['--platform', this.platformUrl, 'policy', 'apply', policyFile]);
  }

  /** Starts all members of the fleet and waits until each entry is connected to every agent. */
  async startMembers(members: readonly FleetMember[]): Promise<void> {
    const backends = members.filter((member) => member.kind !== 'entry');
    await Promise.all(backends.map((member) => this.startBackend(member)));
    const entries = members.filter((member) => member.kind === 'entry');
    await Promise.all(entries.map((member) => this.startDaemon(member, 'entry', '')));
    await Promise.all(
      this.processesOfKind('entry').map((entry) => waitUntilConnected(entry, backends.length)),
    );
  }

  /** Returns the processes of one kind. */
  processesOfKind(kind: FleetProcess['kind']): FleetProcess[] {
    return this.processes.filter((member) => member.kind === kind);
  }

  /** Kills a process without a graceful shutdown. */
  kill(member: FleetProcess): void {
    member.child.kill('SIGKILL');
  }

  /** Runs the command-line tool and returns its output. */
  async runCommand(args: readonly string[]): Promise<string> {
    const child = spawn(process.execPath, [join(BIN_DIRECTORY, 'weirvale.js'), ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let output = '';
    child.stdout.on('data', (bytes: Buffer) => (output += bytes.toString()));
    const code = await new Promise((resolve) => child.on('close', resolve));
    if (code !== 0) {
      throw new FleetStartError(`weirvale ${args.join(' ')} exited with code ${String(code)}`);
    }
    return output;
  }

  /** Base URL of the platform stand-in. */
  get platform(): string {
    return this.platformUrl;
  }

  /**
   * Stops all processes that this fleet started, first entries, then agents, so that they can shut
   * down gracefully; kills those that take longer than `STOP_TIMEOUT_MS`.
   */
  async stop(): Promise<void> {
    for (const kind of ['entry', 'agent', 'engine', 'service', 'platform'] as const) {
      await Promise.all(this.processesOfKind(kind).map((member) => stopProcess(member.child)));
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
    writeFileSync(file, formatSettings(name, role, values, this.platformUrl) + extra);
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
    const line = await readPorts(child, `${kind} ${name}`);
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

function formatSettings(
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

function readPorts(child: ChildProcess, processLabel: string): Promise<PortsMessage> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new FleetStartError(`${processLabel} did not report its ports in time`)),
      START_TIMEOUT_MS,
    );
    child.on('exit', (code) =>
      reject(new FleetStartError(`${processLabel} exited with code ${String(code)}`)),
    );
    const lines = createInterface({ input: child.stdout! });
    lines.on('line', (text) => {
      if (text.includes('"port')) {
        clearTimeout(timer);
        resolve(JSON.parse(text) as PortsMessage);
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
  throw new FleetStartError(`${entry.name} did not connect to ${agentCount} agents in time`);
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
