/** A process of the system on a small machine, while a crowd of clients connects to it. */
import type { ChildProcess } from 'node:child_process';
import type { ExecutionContext } from 'ava';
import { sleep, SYSTEM_CLOCK } from '../../src/clock.js';
import { ClientCrowd } from './client-crowd.js';
import type { ClientTarget, CrowdClient } from './client-crowd.js';
import { openDescriptors, peakMemoryMib } from './process-usage.js';

/** The machine of the process: half the memory of the smallest machines that callers connect to. */
export const MACHINE = { memoryMib: 175, heapMib: 100, descriptors: 512 } as const;

/** Time for which the clients of a crowd send. */
const CROWD_MS = 6_000;
const SAMPLE_MS = 50;
/** Time after which a process that does not answer an ordinary request counts as hung. */
const HANG_MS = 60_000;
const RETRY_MS = 500;

/** What a crowd did. */
export interface CrowdOutcome {
  readonly sentBytes: number;
  /** Connections that the process closed. */
  readonly closedCount: number;
}

/** Sends an ordinary request; returns whether it is served. */
export type SendOrdinaryRequest = (signal: AbortSignal) => Promise<boolean>;

/** A process and the checks that hold whatever its clients send. */
export class CrowdedProcess {
  private peakDescriptors = 0;
  /** Aborted when the process has ended, or counts as hung. */
  private readonly ended = new AbortController();

  constructor(
    private readonly child: ChildProcess,
    private readonly target: ClientTarget,
    private readonly sendOrdinaryRequest: SendOrdinaryRequest,
  ) {
    child.once('close', () => this.ended.abort());
  }

  private get pid(): number {
    return this.child.pid!;
  }

  private get isAlive(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /**
   * Lets `count` clients send for some seconds and leave. Then checks that the process lives, that
   * it used no more memory and descriptors than its machine has, and that it serves a request.
   */
  async withstand(t: ExecutionContext, client: CrowdClient, count: number): Promise<CrowdOutcome> {
    const outcome = await this.serveCrowd(client, count);
    const isServing = await this.servesOrdinaryRequest();
    const peakMib = peakMemoryMib(this.pid) ?? NaN;
    const sentMib = outcome.sentBytes / (1_024 * 1_024);
    t.log(
      `${count} clients sent ${sentMib.toFixed(1)} MiB; peak ${peakMib.toFixed(0)} MiB, ${this.peakDescriptors} descriptors`,
    );
    t.deepEqual(
      {
        isAlive: this.isAlive,
        isServing,
        isWithinMemory: peakMib <= MACHINE.memoryMib,
        isWithinDescriptors: this.peakDescriptors <= MACHINE.descriptors,
      },
      { isAlive: true, isServing: true, isWithinMemory: true, isWithinDescriptors: true },
    );
    return outcome;
  }

  private async serveCrowd(client: CrowdClient, count: number): Promise<CrowdOutcome> {
    const crowd = new ClientCrowd(this.target, client, count);
    const endAtMs = Date.now() + CROWD_MS;
    while (Date.now() < endAtMs && this.isAlive) {
      this.peakDescriptors = Math.max(this.peakDescriptors, openDescriptors(this.pid) ?? 0);
      await sleep(SYSTEM_CLOCK, SAMPLE_MS);
    }
    crowd.leave();
    return { sentBytes: crowd.sentBytes, closedCount: crowd.closedCount };
  }

  /** Sends an ordinary request, again while it is refused. */
  private async servesOrdinaryRequest(): Promise<boolean> {
    const { signal } = this.ended;
    const timer = setTimeout(() => this.ended.abort(), HANG_MS);
    let isServed = false;
    while (!isServed && !signal.aborted) {
      isServed = await this.sendOrdinaryRequest(signal).catch(() => false);
      await sleep(SYSTEM_CLOCK, isServed ? 0 : RETRY_MS);
    }
    clearTimeout(timer);
    return isServed;
  }
}
