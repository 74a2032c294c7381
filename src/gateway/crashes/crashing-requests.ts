/**
 * Stops sending requests that crash backends to further backends. Performs no I/O.
 *
 * A crash counts against every request that was in flight on the backend, and against every part of
 * their prompts that was not recently answered; what caused it is identified when it is in flight
 * at later crashes too. Each request and each part has one small tally that merges in any order, so
 * gateways exchange tallies immediately and need no consensus.
 */
import type { Clock } from '../../clock.js';
import type { Backend } from '../../routing/backend.js';
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import type { AttemptFailure } from '../attempt/attempt.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import { InterruptedRuns } from './interrupted-runs.js';
import type { ExitEvidence } from './interrupted-runs.js';
import { countCrash, countPartCrashes } from './count-crashes.js';
import { CrashTable } from './crash-table.js';
import { NO_CRASHES, supersedes } from './crash-tally.js';
import type { CrashTally, FingerprintCrashes, Fingerprint } from './crash-tally.js';
import { fingerprintOf } from './request-fingerprint.js';
import type { FingerprintedRequest } from './request-fingerprint.js';
import { PartProbes } from './part-probes.js';
import { promptPartFingerprint, promptPartOf } from './prompt-part-fingerprint.js';
import { partFingerprintsOf } from './request-run.js';
import type { RequestRun, TrackedRequest } from './request-run.js';
import { ServedParts } from './served-parts.js';
import { ServedRequests } from './served-requests.js';

/** Origin of a tally. */
export type TallySource = 'own' | 'peer' | 'store';

/** A crash observed by this gateway. */
export interface ObservedCrash extends FingerprintCrashes {
  readonly run: RequestRun;
  readonly evidence: ExitEvidence;
}

/** Dependencies and callbacks of the crash tracking. */
export interface CrashingRequestsPorts {
  /** Whether the backend had announced that it is draining. */
  isLeaving(backendId: string): boolean;
  /**
   * Whether this gateway, of all that are connected, lets single requests with a refused prompt part
   * through.
   */
  isProberOf(fingerprint: Fingerprint): boolean;
  /** Called when a response was cut off, to find out whether the backend exited. */
  probe(backend: Backend): void;
  /** Called when a run of this gateway was in flight on a backend that exited. */
  onCrash(crash: ObservedCrash): void;
  /** Called when tallies changed, so that they can be shared. */
  onTalliesChanged(changed: readonly FingerprintCrashes[], source: TallySource): void;
  /**
   * Called when a request becomes refused for all backends; its queued attempts must be answered.
   */
  onRefused(fingerprint: Fingerprint): void;
}

/** Crash tracking as used by requests. */
export interface RunCrashTracker {
  /** Returns the refusal if the request must not be sent to any backend. */
  refusalOf(request: TrackedRequest): GatewayRefusal | undefined;
  /** Starts tracking a run of a request; `previous` is its preceding, interrupted run, if any. */
  beginRun(request: AcceptedRequest, backend: Backend, previous?: RequestRun): RequestRun;
  /** Records that a run failed: its backend's port is closed, or its response was cut off. */
  recordFailure(run: RequestRun, failure: AttemptFailure): void;
  /**
   * Records that the response of a run was cut off; `isAbortedLocally` if this gateway aborted it.
   */
  recordInterrupted(run: RequestRun, isAbortedLocally: boolean): void;
  /**
   * Records that a backend completed the request with a response that is not one of the backend's
   * own failures. A success status shows that it processed the prompt as well.
   */
  recordServed(request: TrackedRequest, status: number): void;
}

const HTTP_REDIRECT = 300;
/** Maximum number of tallies sent to a newly connected gateway, about 16 kB. */
const MAX_TALLIES_ON_CONNECT = 256;
const NO_BODY = Buffer.alloc(0);
const NO_TALLIES: ReadonlyMap<Fingerprint, CrashTally> = new Map();

/** Tracks requests and prompt parts that crash backends and refuses them. */
export class CrashingRequests implements RunCrashTracker {
  private readonly interruptedRuns = new InterruptedRuns<RequestRun>();
  private readonly servedRequests = new ServedRequests();
  private readonly servedParts = new ServedParts();
  /** Prompt parts whose crashes this gateway has published and that were not cleared since. */
  private readonly reportedParts = new Set<Fingerprint>();
  private readonly partProbes: PartProbes;
  private readonly fingerprints = new WeakMap<FingerprintedRequest, Fingerprint>();

  constructor(
    private readonly ports: CrashingRequestsPorts,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly table = new CrashTable(),
  ) {
    this.partProbes = new PartProbes((fingerprint) => ports.isProberOf(fingerprint));
  }

  /**
   * Returns the refusal if the request must not be sent to any backend, and postpones the expiry of
   * the entry, which is its retry delay. A request may be let through as a probe of its prompt part.
   */
  refusalOf(request: TrackedRequest): GatewayRefusal | undefined {
    const fingerprint = this.refusedFingerprintOf(request);
    if (fingerprint === undefined) {
      return undefined;
    }
    const nowMs = this.clock.now();
    if (this.beginProbe(request, nowMs)) {
      return this.refusalOf(request);
    }
    this.table.touch(fingerprint, nowMs);
    const { expiryMs } = this.table.options;
    return { reason: 'crashes-back-ends', retryAfterMs: expiryMs, fingerprint };
  }

  /** Counts refused requests and those with crashes below the refusal threshold. */
  count(): { refused: number; suspected: number } {
    return this.table.count();
  }

  /** Whether the request must not be sent to any backend. */
  isRefused(request: TrackedRequest): boolean {
    return this.refusedFingerprintOf(request) !== undefined;
  }

  /**
   * Returns the fingerprint, of a part of its prompt or of the request, for which the request must
   * not be sent to any backend; undefined if it may be sent.
   */
  refusedFingerprintOf(request: TrackedRequest): Fingerprint | undefined {
    if (this.table.isEmpty) {
      return undefined;
    }
    const [culprit] = this.culpritPartsOf(request);
    if (culprit !== undefined && !this.partProbes.isProbe(request)) {
      return culprit;
    }
    const fingerprint = this.fingerprintOf(request);
    return this.table.isRefused(fingerprint) ? fingerprint : undefined;
  }

  /** Whether requests with the fingerprint, or with the prompt part that it names, are refused. */
  isFingerprintRefused(fingerprint: Fingerprint): boolean {
    return this.table.isRefused(fingerprint);
  }

  beginRun(request: AcceptedRequest, backend: Backend, previous?: RequestRun): RequestRun {
    return {
      request,
      backend,
      backendId: backend.id,
      sentAtMs: this.clock.now(),
      talliesAtStart: this.talliesOf(request),
      previous,
      crashes: new Map(),
    };
  }

  recordFailure(run: RequestRun, { isPortClosed, mayHaveRun, isSilent }: AttemptFailure): void {
    if (isPortClosed) {
      this.recordBackendExit(run.backendId, 'port-closed');
    } else if (mayHaveRun && isSilent !== true) {
      this.recordInterrupted(run, false);
    }
  }

  recordInterrupted(run: RequestRun, isAbortedLocally: boolean): void {
    if (this.ports.isLeaving(run.backendId)) {
      // A planned shutdown is not caused by a request.
      return;
    }
    const kept = this.withoutPayload(run);
    const evidence = this.interruptedRuns.add(kept, isAbortedLocally, this.clock.now());
    if (evidence !== undefined) {
      this.countCrashes([run], evidence);
    } else if (!isAbortedLocally) {
      this.ports.probe(run.backend);
    }
  }

  recordServed(request: TrackedRequest, status: number): void {
    if (status < HTTP_REDIRECT) {
      this.recordServedParts(request);
    }
    const fingerprint = this.fingerprintOf(request);
    if (this.table.tallyOf(fingerprint).crashes > 0) {
      this.recordClearances([fingerprint]);
    } else {
      this.servedRequests.add(fingerprint);
    }
  }

  /** Records that the process at a backend's address has exited. */
  recordBackendExit(backendId: string, evidence: ExitEvidence): void {
    this.countCrashes(
      this.interruptedRuns.takeExited(backendId, evidence, this.clock.now()),
      evidence,
    );
  }

  /** Merges tallies from a peer or the store; returns the tallies in which the sender is behind. */
  mergeTallies(incoming: readonly FingerprintCrashes[], source: TallySource): FingerprintCrashes[] {
    this.mergeAll(incoming, source);
    return incoming.flatMap(({ fingerprint, ...tally }) => {
      const known = this.table.tallyOf(fingerprint);
      return supersedes(known, tally) ? [{ fingerprint, ...known }] : [];
    });
  }

  /** Returns the tallies to send to a newly connected gateway. */
  newestTallies(): FingerprintCrashes[] {
    return this.table.newest(MAX_TALLIES_ON_CONNECT);
  }

  /**
   * Removes all tallies after operators removed the stored record; nothing is refused afterwards.
   */
  clear(): void {
    this.table.clear();
    this.reportedParts.clear();
    this.partProbes.retain(this.table.culpritParts);
  }

  /** Removes expired tallies; call periodically. */
  evictExpired(): void {
    this.table.evictExpired(this.clock.now());
    this.partProbes.retain(this.table.culpritParts);
    for (const fingerprint of this.reportedParts) {
      if (this.table.tallyOf(fingerprint).crashes === 0) {
        this.reportedParts.delete(fingerprint);
      }
    }
  }

  /** Returns the fingerprint of a request, computed once per request. */
  fingerprintOf(request: FingerprintedRequest): Fingerprint {
    const known = this.fingerprints.get(request) ?? fingerprintOf(request);
    this.fingerprints.set(request, known);
    return known;
  }

  /**
   * Returns the run without the headers and bodies of its request, which may be large: runs are kept
   * longer than their requests. The crash counts stay those of the run itself.
   */
  private withoutPayload(run: RequestRun): RequestRun {
    const request = { ...run.request, headers: [], body: NO_BODY };
    this.fingerprints.set(request, this.fingerprintOf(run.request));
    const previous = run.previous === undefined ? undefined : this.withoutPayload(run.previous);
    return { ...run, request, previous };
  }

  private talliesOf(request: TrackedRequest): ReadonlyMap<Fingerprint, CrashTally> {
    if (this.table.isEmpty) {
      return NO_TALLIES;
    }
    const fingerprints = [this.fingerprintOf(request), ...partFingerprintsOf(request)];
    const tallies = fingerprints.map((each) => [each, this.table.tallyOf(each)] as const);
    return new Map(tallies.filter(([, tally]) => tally !== NO_CRASHES));
  }

  /** Lets a request with a single refused part through if a probe of the part is due. */
  private beginProbe(request: TrackedRequest, nowMs: number): boolean {
    const [culprit, ...others] = this.culpritPartsOf(request);
    if (culprit === undefined || others.length > 0 || this.partProbes.isProbe(request)) {
      return false;
    }
    return this.partProbes.tryBegin(request, culprit, this.table.isTied(culprit), nowMs);
  }

  /** Returns the fingerprints of the parts of the request's prompt that crash backends. */
  private culpritPartsOf({ service, sharedPromptParts }: TrackedRequest): Fingerprint[] {
    const culprits = this.table.culpritParts;
    if (culprits.size === 0 || sharedPromptParts.length === 0) {
      return [];
    }
    return [...culprits].filter((culprit) => {
      const partId = promptPartOf(culprit);
      if (partId === undefined || !sharedPromptParts.includes(partId)) {
        return false;
      }
      // The backends of another service are spared as well, unless they have answered the part.
      const own = promptPartFingerprint(service, partId);
      return culprit === own || !this.servedParts.has(own);
    });
  }

  private recordServedParts(request: TrackedRequest): void {
    const nowMs = this.clock.now();
    const fingerprints = partFingerprintsOf(request);
    fingerprints.forEach((each) => this.servedParts.add(each, nowMs));
    if (!this.table.isEmpty) {
      this.recordClearances(fingerprints.filter((each) => this.table.tallyOf(each).crashes > 0));
    }
  }

  private countCrashes(runs: readonly RequestRun[], evidence: ExitEvidence): void {
    const nowMs = this.clock.now();
    const tallyOf = (fingerprint: Fingerprint) => this.table.tallyOf(fingerprint);
    const tallies = runs.map((run): FingerprintCrashes => {
      const fingerprint = this.fingerprintOf(run.request);
      const tally = countCrash(run, fingerprint, tallyOf);
      this.ports.onCrash({ fingerprint, ...tally, run, evidence });
      return { fingerprint, ...tally };
    });
    const isCleared = (fingerprint: Fingerprint) => this.servedParts.isCleared(fingerprint, nowMs);
    this.mergeAll([...tallies, ...countPartCrashes(runs, tallyOf, isCleared)], 'own');
  }

  private mergeAll(incoming: readonly FingerprintCrashes[], source: TallySource): void {
    const refusedBefore = this.refusedAmong(incoming);
    const nowMs = this.clock.now();
    const changed = incoming
      .filter((each) => this.table.merge(each, nowMs))
      .map(({ fingerprint }) => ({ fingerprint, ...this.table.tallyOf(fingerprint) }));
    if (changed.length > 0) {
      this.ports.onTalliesChanged(changed, source);
    }
    this.republishClearances(changed, source);
    this.clearServed(changed, source);
    for (const fingerprint of this.refusedAmong(changed)) {
      if (!refusedBefore.has(fingerprint)) {
        this.ports.onRefused(fingerprint);
      }
    }
  }

  /** Returns those of the tallied requests that are refused, and all refused prompt parts. */
  private refusedAmong(tallies: readonly FingerprintCrashes[]): ReadonlySet<Fingerprint> {
    const fingerprints = tallies.map(({ fingerprint }) => fingerprint);
    const refused = fingerprints.filter((fingerprint) => this.table.isRefused(fingerprint));
    return new Set([...refused, ...this.table.culpritParts]);
  }

  /**
   * Publishes the clearances, received from a peer, of prompt parts that this gateway reported: the
   * peer told only this gateway, so that many that have answered a part do not all tell all.
   */
  private republishClearances(changed: readonly FingerprintCrashes[], source: TallySource): void {
    const isReport = ({ fingerprint, crashes }: FingerprintCrashes) =>
      crashes > 0 && promptPartOf(fingerprint) !== undefined;
    if (source === 'own') {
      changed.filter(isReport).forEach(({ fingerprint }) => this.reportedParts.add(fingerprint));
      return;
    }
    const cleared = changed.filter(
      ({ fingerprint, crashes }) => crashes === 0 && this.reportedParts.delete(fingerprint),
    );
    if (cleared.length > 0) {
      this.ports.onTalliesChanged(cleared, 'own');
    }
  }

  /** Clears what crashed backends according to `tallies` but was answered by another one. */
  private clearServed(tallies: readonly FingerprintCrashes[], source: TallySource): void {
    const nowMs = this.clock.now();
    const suspected = tallies
      .filter(({ crashes }) => crashes > 0)
      .map(({ fingerprint }) => fingerprint);
    this.recordClearances(suspected.filter((each) => this.servedRequests.remove(each)));
    const answeredParts = suspected.filter((each) => this.servedParts.isCleared(each, nowMs));
    // A peer receives the clearance in the response to its tallies.
    this.recordClearances(answeredParts, source === 'peer' ? 'peer' : 'own');
  }

  /**
   * Resets the crash counts of requests and prompt parts that a backend completed: they did not
   * cause the crashes.
   */
  private recordClearances(
    fingerprints: readonly Fingerprint[],
    source: TallySource = 'own',
  ): void {
    const clearedTallies = fingerprints.map((fingerprint): FingerprintCrashes => {
      const { clearances } = this.table.tallyOf(fingerprint);
      return { fingerprint, crashes: 0, clearances: clearances + 1 };
    });
    if (clearedTallies.length > 0) {
      this.mergeAll(clearedTallies, source);
    }
  }
}
