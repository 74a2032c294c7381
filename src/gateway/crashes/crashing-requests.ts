/**
 * Stops sending requests that crash backends to further backends. Performs no I/O.
 *
 * A crash counts against every request that was in flight on the backend; the one that caused it is
 * identified when it is in flight at a later crash too. Each request has one small tally that
 * merges in any order, so gateways exchange tallies immediately and need no consensus.
 */
import type { Clock } from '../../clock.js';
import type { Backend } from '../../routing/backend.js';
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import { InterruptedRuns } from './interrupted-runs.js';
import type { BackendRun, ExitEvidence } from './interrupted-runs.js';
import { CrashTable } from './crash-table.js';
import { NO_CRASHES } from './crash-tally.js';
import type { CrashTally, RequestCrashes, RequestFingerprint } from './crash-tally.js';
import { fingerprintOf } from './request-fingerprint.js';
import type { FingerprintedRequest } from './request-fingerprint.js';
import { ServedRequests } from './served-requests.js';

/** One run of a request, from the moment it is sent. */
export interface RequestRun extends BackendRun {
  readonly request: AcceptedRequest;
  readonly backend: Backend;
  /** Tally of the request when it was sent. */
  readonly tallyAtStart: CrashTally;
  /** The preceding, interrupted run of the same request. */
  readonly previous: RequestRun | undefined;
  /**
   * Crash count of the request including this run; 0 while the run is not known to have crashed its
   * backend.
   */
  crashes: number;
}

/** Origin of a tally. */
export type TallySource = 'own' | 'peer' | 'store';

/** A crash observed by this gateway. */
export interface ObservedCrash extends RequestCrashes {
  readonly run: RequestRun;
  readonly evidence: ExitEvidence;
}

/** Dependencies and callbacks of the crash tracking. */
export interface CrashingRequestsPorts {
  /** Whether the backend had announced that it is draining. */
  isLeaving(backendId: string): boolean;
  /** Called when a response was cut off, to find out whether the backend exited. */
  probe(backend: Backend): void;
  /** Called when a run of this gateway was in flight on a backend that exited. */
  onCrash(crash: ObservedCrash): void;
  /** Called when tallies changed, so that they can be shared. */
  onTalliesChanged(changed: readonly RequestCrashes[], source: TallySource): void;
  /**
   * Called when a request becomes refused for all backends; its queued attempts must be answered.
   */
  onRefused(fingerprint: RequestFingerprint): void;
}

/** Crash tracking as used by requests. */
export interface RunCrashTracker {
  /** Returns the refusal if the request must not be sent to any backend. */
  refusalOf(request: FingerprintedRequest): GatewayRefusal | undefined;
  /** Starts tracking a run of a request; `previous` is its preceding, interrupted run, if any. */
  beginRun(request: AcceptedRequest, backend: Backend, previous?: RequestRun): RequestRun;
  /**
   * Records that the response of a run was cut off; `isAbortedLocally` if this gateway aborted it.
   */
  recordInterrupted(run: RequestRun, isAbortedLocally: boolean): void;
  /**
   * Records that a backend completed the request with a response that is not one of the backend's
   * own failures.
   */
  recordServed(request: AcceptedRequest): void;
  /** Records that the process at a backend's address has exited. */
  recordBackendExit(backendId: string, evidence: ExitEvidence): void;
}

/** Maximum number of tallies sent to a newly connected gateway, about 16 kB. */
const MAX_TALLIES_ON_CONNECT = 256;

/** Tracks requests that crash backends and refuses them. */
export class CrashingRequests implements RunCrashTracker {
  private readonly interruptedRuns = new InterruptedRuns<RequestRun>();
  private readonly servedRequests = new ServedRequests();
  private readonly fingerprints = new WeakMap<FingerprintedRequest, RequestFingerprint>();

  constructor(
    private readonly ports: CrashingRequestsPorts,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly table = new CrashTable(),
  ) {}

  /**
   * Returns the refusal if the request must not be sent to any backend; its retry delay is the
   * expiry time of the entry.
   */
  refusalOf(request: FingerprintedRequest): GatewayRefusal | undefined {
    if (!this.isRefused(request)) {
      return undefined;
    }
    const fingerprint = this.fingerprintOf(request);
    const { expiryMs } = this.table.options;
    return { reason: 'crashes-back-ends', retryAfterMs: expiryMs, fingerprint };
  }

  /** Counts refused requests and those with crashes below the refusal threshold. */
  count(): { refused: number; suspected: number } {
    return this.table.count();
  }

  /** Whether the request must not be sent to any backend; if so, postpones its expiry. */
  isRefused(request: FingerprintedRequest): boolean {
    if (this.table.isEmpty) {
      return false;
    }
    const fingerprint = this.fingerprintOf(request);
    const isRefused = this.table.isRefused(fingerprint);
    if (isRefused) {
      this.table.touch(fingerprint, this.clock.now());
    }
    return isRefused;
  }

  beginRun(request: AcceptedRequest, backend: Backend, previous?: RequestRun): RequestRun {
    const tallyAtStart = this.table.isEmpty
      ? NO_CRASHES
      : this.table.tallyOf(this.fingerprintOf(request));
    const sentAtMs = this.clock.now();
    return {
      request,
      backend,
      backendId: backend.id,
      sentAtMs,
      tallyAtStart,
      previous,
      crashes: 0,
    };
  }

  recordInterrupted(run: RequestRun, isAbortedLocally: boolean): void {
    if (this.ports.isLeaving(run.backendId)) {
      // A planned shutdown is not caused by a request.
      return;
    }
    const evidence = this.interruptedRuns.add(run, isAbortedLocally, this.clock.now());
    if (evidence !== undefined) {
      this.countCrashes([run], evidence);
    } else if (!isAbortedLocally) {
      this.ports.probe(run.backend);
    }
  }

  recordServed(request: AcceptedRequest): void {
    const fingerprint = this.fingerprintOf(request);
    if (this.table.tallyOf(fingerprint).crashes > 0) {
      this.recordClearances([fingerprint]);
    } else {
      this.servedRequests.add(fingerprint);
    }
  }

  recordBackendExit(backendId: string, evidence: ExitEvidence): void {
    this.countCrashes(
      this.interruptedRuns.takeExited(backendId, evidence, this.clock.now()),
      evidence,
    );
  }

  /** Merges tallies from a peer or the store; returns the tallies in which the sender is behind. */
  mergeTallies(incoming: readonly RequestCrashes[], source: TallySource): RequestCrashes[] {
    this.mergeAll(incoming, source);
    return incoming.flatMap(({ fingerprint, crashes, clearances }) => {
      const known = this.table.tallyOf(fingerprint);
      const isBehind = known.crashes !== crashes || known.clearances !== clearances;
      return isBehind ? [{ fingerprint, ...known }] : [];
    });
  }

  /** Returns the tallies to send to a newly connected gateway. */
  newestTallies(): RequestCrashes[] {
    return this.table.newest(MAX_TALLIES_ON_CONNECT);
  }

  /**
   * Removes all tallies after operators removed the stored record; nothing is refused afterwards.
   */
  clear(): void {
    this.table.clear();
  }

  /** Removes expired tallies; call periodically. */
  evictExpired(): void {
    this.table.evictExpired(this.clock.now());
  }

  /** Returns the fingerprint of a request, computed once per request. */
  fingerprintOf(request: FingerprintedRequest): RequestFingerprint {
    const known = this.fingerprints.get(request) ?? fingerprintOf(request);
    this.fingerprints.set(request, known);
    return known;
  }

  private countCrashes(runs: readonly RequestRun[], evidence: ExitEvidence): void {
    const tallies = runs.map((run): RequestCrashes => {
      const fingerprint = this.fingerprintOf(run.request);
      const { clearances } = this.table.tallyOf(fingerprint);
      run.crashes = priorCrashes(run, clearances) + 1;
      const { crashes } = run;
      this.ports.onCrash({ fingerprint, crashes, clearances, run, evidence });
      return { fingerprint, crashes, clearances };
    });
    this.mergeAll(tallies, 'own');
  }

  private mergeAll(incoming: readonly RequestCrashes[], source: TallySource): void {
    const nowMs = this.clock.now();
    const changed = incoming.filter((each) => this.mergeOne(each, nowMs));
    if (changed.length > 0) {
      this.ports.onTalliesChanged(changed, source);
    }
    const suspected = changed.filter(({ crashes }) => crashes > 0);
    this.recordClearances(
      suspected
        .map(({ fingerprint }) => fingerprint)
        .filter((each) => this.servedRequests.remove(each)),
    );
  }

  /**
   * Resets the crash counts of requests that a backend completed: they did not cause the crashes.
   */
  private recordClearances(fingerprints: readonly RequestFingerprint[]): void {
    const clearedTallies = fingerprints.map((fingerprint): RequestCrashes => {
      const { clearances } = this.table.tallyOf(fingerprint);
      return { fingerprint, crashes: 0, clearances: clearances + 1 };
    });
    if (clearedTallies.length > 0) {
      this.mergeAll(clearedTallies, 'own');
    }
  }

  private mergeOne(incoming: RequestCrashes, nowMs: number): boolean {
    const wasRefused = this.table.isRefused(incoming.fingerprint);
    const isSuperseding = this.table.merge(incoming, nowMs);
    if (!wasRefused && this.table.isRefused(incoming.fingerprint)) {
      this.ports.onRefused(incoming.fingerprint);
    }
    return isSuperseding;
  }
}

/**
 * Returns the crashes known when a run began, including those of the preceding run of the same
 * request. Only a run that began after a crash was known adds to the count, see
 * `CrashTally.crashes`.
 */
function priorCrashes({ tallyAtStart, previous }: RequestRun, clearances: number): number {
  const isSameVersion = tallyAtStart.clearances === clearances;
  return isSameVersion ? Math.max(tallyAtStart.crashes, previous?.crashes ?? 0) : 0;
}
