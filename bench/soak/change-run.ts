/**
 * Real gateways on loopback before a store in trouble, while the configuration changes: how long it takes until each
 * gateway serves the route that was added and no longer the one that was dropped.
 */
import { request } from 'undici';
import { FakeStore } from '../../test/support/platform-standin.js';
import type { StoreBehavior } from '../../test/support/platform-standin.js';
import { GatewayProcesses } from './gateway-processes.js';

/** One run of a fleet. */
export interface ChangeRunOptions {
  readonly gateways: number;
  readonly mood: StoreBehavior;
  /** How long the store is in trouble, and when within it the configuration changes, in milliseconds. */
  readonly forMs: number;
  readonly changeAfterMs: number;
  /** Time from the last change before to the trouble, in milliseconds. */
  readonly quietMs: number;
  /** The store comes back from a copy of so long before the trouble, in milliseconds; missing where it goes on. */
  readonly copyAgeMs?: number;
  readonly basePort: number;
}

/** What was seen. */
export interface ChangeRunReport {
  /**
   * Time from the end of the trouble, or from a change after the return from a copy, until the change was in force, by
   * gateway, in milliseconds, ascending.
   */
  readonly inForceMs: readonly number[];
  /** Gateways where it was not in force by the end of the run. */
  readonly never: number;
}

const READY_LIMIT_MS = 30_000;
const SETTLE_MS = 4_000;
const LIMIT_MS = 14_000;
const LOOK_MS = 100;
/** Time after a return from a copy until operators write again, in milliseconds. */
const REWRITE_MS = 500;
/** Pause between the changes that a copy lacks, in milliseconds. */
const LOST_CHANGE_MS = 100;
const NOT_FOUND = 404;

/** Plays one run. */
export async function runChange(options: ChangeRunOptions): Promise<ChangeRunReport> {
  const run = new ChangeRun(options);
  try {
    return await run.play();
  } finally {
    run.stop();
  }
}

class ChangeRun {
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private version = 0;
  private readonly stopAtExit = () => this.stop();

  constructor(private readonly options: ChangeRunOptions) {
    const { basePort } = options;
    this.processes = new GatewayProcesses({ network: '127.0.5', basePort, folderName: 'changes' });
  }

  async play(): Promise<ChangeRunReport> {
    const { gateways, mood, forMs, changeAfterMs, quietMs, copyAgeMs } = this.options;
    process.once('exit', this.stopAtExit);
    this.store.epoch = copyAgeMs === undefined ? undefined : 1;
    const address = await this.store.start();
    this.change();
    for (let index = 0; index < gateways; index += 1) {
      this.processes.startGateway(address);
    }
    await this.untilAll(READY_LIMIT_MS);
    await sleepMs(SETTLE_MS);
    this.change();
    for (let leftMs = copyAgeMs ?? 0; leftMs > 0; leftMs -= LOST_CHANGE_MS) {
      await sleepMs(LOST_CHANGE_MS);
      this.change();
    }
    await sleepMs(quietMs);
    const endMs = performance.now() + forMs;
    this.store.behavior = mood;
    let fromMs = endMs;
    if (copyAgeMs === undefined) {
      await sleepMs(changeAfterMs);
      this.change();
      setTimeout(() => (this.store.behavior = 'answers'), endMs - performance.now());
    } else {
      await sleepMs(forMs);
      await this.comeBack(copyAgeMs + forMs);
      await sleepMs(changeAfterMs - forMs);
      fromMs = performance.now();
      this.change();
    }
    const seen = await this.untilAll(fromMs - performance.now() + LIMIT_MS);
    const inForceMs = seen.map((atMs) => atMs - fromMs).sort((left, right) => left - right);
    return { inForceMs, never: gateways - seen.length };
  }

  stop(): void {
    process.off('exit', this.stopAtExit);
    this.processes.stop();
    this.store.stop();
  }

  /** The store comes back from a copy; what that lacks is written again. */
  private async comeBack(copyAgeMs: number): Promise<void> {
    const lost = this.store.restore(copyAgeMs);
    this.store.behavior = 'answers';
    await sleepMs(REWRITE_MS);
    this.store.rewriteReverted(lost);
  }

  /** Adds a route and drops the one before. */
  private change(): void {
    this.version += 1;
    this.store.put('op/config', {
      version: this.version,
      routes: [
        {
          name: `r-${this.version}`,
          host: 'changes.example',
          pathPrefix: `/v${this.version}/`,
          kind: 'safe',
          timeoutMs: 50,
          targetLatencyMs: 50,
          maxAttempts: 1,
          service: 'none',
        },
      ],
      services: [{ name: 'none', maxConnections: 1 }],
    });
  }

  /** Waits until the newest configuration is in force everywhere; when it was, by gateway that has it. */
  private async untilAll(limitMs: number): Promise<number[]> {
    const endMs = performance.now() + limitMs;
    const seen = await Promise.all(
      this.processes.gateways.map((_gateway, index) => this.until(index, endMs)),
    );
    return seen.filter((atMs) => atMs !== undefined);
  }

  private async until(index: number, endMs: number): Promise<number | undefined> {
    while (performance.now() < endMs) {
      const [added, dropped] = await Promise.all([
        this.status(index, this.version),
        this.status(index, this.version - 1),
      ]);
      if (added !== NOT_FOUND && added !== 0 && dropped === NOT_FOUND) {
        return performance.now();
      }
      await sleepMs(LOOK_MS);
    }
    return undefined;
  }

  private async status(index: number, version: number): Promise<number> {
    const url = `http://${this.processes.hostOf(index)}:${this.processes.callersPort()}/v${version}/x`;
    const headers = { host: 'changes.example' };
    const answer = await request(url, { headers }).catch(() => undefined);
    await answer?.body.dump();
    return answer?.statusCode ?? 0;
  }
}

function sleepMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
