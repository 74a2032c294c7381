import { CrashRecordWriter } from '../../src/gateway/crashes/crash-record.js';
import type { CrashRecord, StoredCrashes } from '../../src/gateway/crashes/crash-record.js';
import { CrashingRequests } from '../../src/gateway/crashes/crashing-requests.js';
import type { RequestRun } from '../../src/gateway/crashes/request-run.js';
import type { FingerprintCrashes } from '../../src/gateway/crashes/crash-tally.js';
import type { StorePosition } from '../../src/cluster/store-position.js';
import type { WeirvaleError } from '../../src/request/errors.js';
import type { Result } from '../../src/result.js';
import type { VirtualClock } from '../../src/sim/virtual-clock.js';

/** What a simulated gateway needs of its fleet. */
export interface CrashGatewayFleet {
  readonly clock: VirtualClock;
  /** Sends the tallies of a gateway to its peers. */
  broadcast(from: CrashGateway, tallies: readonly FingerprintCrashes[]): void;
  /** Writes the crash record if the store is still at `expected`. */
  write(
    tallies: readonly StoredCrashes[],
    expected: StorePosition,
  ): Promise<Result<StorePosition, WeirvaleError>>;
}

/** Crash tracking of one simulated gateway process. */
export class CrashGateway {
  readonly crashing: CrashingRequests;
  private record: CrashRecordWriter;

  constructor(
    private readonly fleet: CrashGatewayFleet,
    readonly index: number,
    private readonly disablesSharing: boolean,
    /** Fault: a missing record counts as removed by operators, whatever the store's epoch. */
    private readonly clearsOnLoss = false,
  ) {
    const { clock } = fleet;
    this.crashing = new CrashingRequests(
      {
        isProberOf: () => true,
        isLeaving: () => false,
        probe: () => undefined,
        onCrash: () => undefined,
        onTalliesChanged: (changed, source) => {
          if (source === 'own' && !this.disablesSharing) {
            fleet.broadcast(this, changed);
            this.record.addTallies(changed);
          }
        },
        onRefused: () => undefined,
      },
      clock,
    );
    this.record = this.createWriter();
  }

  /** Merges tallies of a peer; returns those in which the peer is behind. */
  mergeFromPeer(tallies: readonly FingerprintCrashes[]): readonly FingerprintCrashes[] {
    return this.crashing.mergeTallies(tallies, 'peer');
  }

  applyRecord(record: CrashRecord): void {
    const isLost = this.clearsOnLoss && record.requests === undefined;
    const isRemoval = isLost || this.record.isRemoval(record);
    if (isLost) {
      this.record.stop();
      this.record = this.createWriter();
    }
    const recent = this.record.applyRecord(record);
    if (isRemoval) {
      this.crashing.clear();
    }
    this.record.addTallies(this.crashing.mergeTallies(recent, 'store'));
  }

  interruptRun(run: RequestRun): void {
    this.crashing.recordInterrupted(run, false);
  }

  private createWriter(): CrashRecordWriter {
    const { fleet } = this;
    return new CrashRecordWriter(
      {
        write: (requests, expected) => fleet.write(requests, expected),
        onWritten: () => undefined,
        timeOfDayMs: () => fleet.clock.now(),
      },
      fleet.clock,
    );
  }

  /** Stops writing to the store. */
  stop(): void {
    this.record.stop();
  }
}
