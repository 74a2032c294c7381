/**
 * Changes the configuration at gateway processes on loopback while the store fails, and measures
 * how long it takes until each gateway serves the added route and no longer serves the removed one.
 */
import { request } from 'undici';
import { FakeStore } from '../../test/support/fake-platform.js';
import type { StoreBehavior } from '../../test/support/fake-platform.js';
import { GatewayProcesses } from './gateway-processes.js';
import { runAndStop } from './run-and-stop.js';

/** Options of a run. */
export interface ChangeRunOptions {
  readonly gateways: number;
  readonly storeBehavior: StoreBehavior;
  /**
   * Duration of the store's fault, and time from its start to the configuration change, in
   * milliseconds. With a backup the change comes `REWRITE_DELAY_MS` later.
   */
  readonly faultMs: number;
  readonly changeAfterMs: number;
  /** Time from the last change before the fault to the fault, in milliseconds. */
  readonly idleMs: number;
  /**
   * Age of the backup, at the start of the fault, from which the store is restored, in
   * milliseconds; undefined if the store keeps its state.
   */
  readonly backupAgeMs?: number;
  readonly basePort: number;
}

/** Results of a run. */
export interface ChangeRunReport {
  /**
   * Time until the change was active, one entry per gateway, in milliseconds, ascending. It is
   * measured from the end of the fault, or with a backup from the change after the restore.
   */
  readonly activeAfterMs: readonly number[];
  /** Number of gateways where the change was not active by the end of the run. */
  readonly neverActive: number;
}

const READY_LIMIT_MS = 30_000;
const SETTLE_MS = 4_000;
const ACTIVE_LIMIT_MS = 14_000;
const POLL_MS = 100;
/** Time from a restore until operators rewrite what the backup lacks, in milliseconds. */
const REWRITE_DELAY_MS = 500;
/** Interval between the changes that the backup lacks, in milliseconds. */
const LOST_CHANGE_INTERVAL_MS = 100;
const NOT_FOUND = 404;

/** Runs one scenario. */
export function runChange(options: ChangeRunOptions): Promise<ChangeRunReport> {
  return runAndStop(new ChangeRun(options));
}

class ChangeRun {
  private readonly store = new FakeStore();
  private readonly processes: GatewayProcesses;
  private version = 0;

  constructor(private readonly options: ChangeRunOptions) {
    const { basePort } = options;
    this.processes = new GatewayProcesses({ network: '127.0.5', basePort, folderName: 'changes' });
  }

  async run(): Promise<ChangeRunReport> {
    const { gateways, storeBehavior, faultMs, changeAfterMs, idleMs, backupAgeMs } = this.options;
    this.store.epoch = backupAgeMs === undefined ? undefined : 1;
    const storeAddress = await this.store.start();
    this.changeConfiguration();
    for (let index = 0; index < gateways; index += 1) {
      this.processes.startGateway(storeAddress);
    }
    await this.waitForAll(READY_LIMIT_MS);
    await sleepMs(SETTLE_MS);
    this.changeConfiguration();
    for (let leftMs = backupAgeMs ?? 0; leftMs > 0; leftMs -= LOST_CHANGE_INTERVAL_MS) {
      await sleepMs(LOST_CHANGE_INTERVAL_MS);
      this.changeConfiguration();
    }
    await sleepMs(idleMs);
    const endMs = performance.now() + faultMs;
    this.store.behavior = storeBehavior;
    let fromMs = endMs;
    if (backupAgeMs === undefined) {
      await sleepMs(changeAfterMs);
      this.changeConfiguration();
      setTimeout(() => (this.store.behavior = 'answers'), endMs - performance.now());
    } else {
      await sleepMs(faultMs);
      await this.restoreStore(backupAgeMs + faultMs);
      await sleepMs(changeAfterMs - faultMs);
      fromMs = performance.now();
      this.changeConfiguration();
    }
    const activeTimes = await this.waitForAll(fromMs - performance.now() + ACTIVE_LIMIT_MS);
    const activeAfterMs = activeTimes
      .map((atMs) => atMs - fromMs)
      .sort((left, right) => left - right);
    return { activeAfterMs, neverActive: gateways - activeTimes.length };
  }

  stop(): void {
    this.processes.stop();
    this.store.stop();
  }

  /** Restores the store from a backup, then rewrites what the backup lacks. */
  private async restoreStore(backupAgeMs: number): Promise<void> {
    const reverted = this.store.restore(backupAgeMs);
    this.store.behavior = 'answers';
    await sleepMs(REWRITE_DELAY_MS);
    this.store.rewriteReverted(reverted);
  }

  /** Writes a configuration that adds a route and removes the previous one. */
  private changeConfiguration(): void {
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

  /**
   * Waits until the newest configuration is active at every gateway; returns when it became active,
   * for the gateways where it did.
   */
  private async waitForAll(limitMs: number): Promise<number[]> {
    const endMs = performance.now() + limitMs;
    const activeTimes = await Promise.all(
      this.processes.gateways.map((_gateway, index) => this.waitForGateway(index, endMs)),
    );
    return activeTimes.filter((atMs) => atMs !== undefined);
  }

  private async waitForGateway(index: number, endMs: number): Promise<number | undefined> {
    while (performance.now() < endMs) {
      const [added, dropped] = await Promise.all([
        this.requestStatus(index, this.version),
        this.requestStatus(index, this.version - 1),
      ]);
      if (added !== NOT_FOUND && added !== 0 && dropped === NOT_FOUND) {
        return performance.now();
      }
      await sleepMs(POLL_MS);
    }
    return undefined;
  }

  private async requestStatus(index: number, version: number): Promise<number> {
    const url = `http://${this.processes.hostOf(index)}:${this.processes.callersPort()}/v${version}/x`;
    const headers = { host: 'changes.example' };
    const response = await request(url, { headers }).catch(() => undefined);
    await response?.body.dump();
    return response?.statusCode ?? 0;
  }
}

function sleepMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
