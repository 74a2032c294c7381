import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { sleep, SYSTEM_CLOCK } from '../../src/clock.js';

const READY_TIMEOUT_MS = 8_000;
const POLL_MS = 20;
const PORTS = { callers: 28_001, readiness: 28_002, peers: 28_003 };

/** How a gateway process differs from one with default settings. */
export interface GatewayProcessOptions {
  /** Arguments of the runtime, before the program. */
  readonly runtimeArguments?: readonly string[];
  /** Lines of settings after the ones that every gateway has. */
  readonly settings?: readonly string[];
}

/** A gateway as a process of its own, on fixed ports of `host`. */
export class GatewayProcess {
  readonly port = PORTS.callers;
  /** Resolves with the status and signal by which the process ended. */
  readonly ended: Promise<readonly [number | null, string | null]>;
  /** What the process has logged. */
  output = '';

  private constructor(
    readonly child: ChildProcess,
    readonly host: string,
  ) {
    child.stdout!.on('data', (bytes: Buffer) => (this.output += bytes.toString()));
    this.ended = new Promise((resolve) => {
      child.on('close', (code, signal) => resolve([code, signal]));
    });
  }

  /** Starts a gateway and waits until it is ready. */
  static async start(
    host: string,
    storeAddress: string,
    { runtimeArguments = [], settings = [] }: GatewayProcessOptions = {},
  ): Promise<GatewayProcess> {
    const settingsPath = join(mkdtempSync(join(tmpdir(), 'weirvale-')), 'settings.ini');
    writeFileSync(settingsPath, [settingsOf(host, storeAddress), ...settings].join('\n'));
    const child = spawn(process.execPath, [...runtimeArguments, 'dist/platform/main.js'], {
      env: { PATH: process.env['PATH'], WEIRVALE_SETTINGS: settingsPath },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const gateway = new GatewayProcess(child, host);
    await gateway.untilReady();
    return gateway;
  }

  /** Sends the stop signal. */
  stop(): void {
    this.child.kill('SIGTERM');
  }

  private async untilReady(): Promise<void> {
    const endAt = Date.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (Date.now() > endAt) {
        throw new Error(`the gateway did not become ready within ${READY_TIMEOUT_MS} ms`);
      }
      await sleep(SYSTEM_CLOCK, POLL_MS);
    }
  }

  private async isReady(): Promise<boolean> {
    try {
      const response = await request(`http://${this.host}:${PORTS.readiness}/-/ready`);
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }
}

function settingsOf(host: string, storeAddress: string): string {
  return [
    '[process]',
    'role = gateway',
    'name = g',
    'zone = z',
    `address = ${host}`,
    '[listen]',
    `callers = ${host}:${PORTS.callers}`,
    `readiness = ${host}:${PORTS.readiness}`,
    `peers = ${host}:${PORTS.peers}`,
    '[cluster]',
    `store = ${storeAddress}`,
  ].join('\n');
}
