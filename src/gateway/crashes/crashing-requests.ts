/**
 * Keeps requests that crash back ends from further ones, without I/O.
 *
 * A crash is held against every request that was at work at the back end; which of them caused it shows when
 * one of them is there again the next time. What gateways know of a request is one small tally that merges in
 * any order, so that they tell each other at once and need no agreement.
 */
import type { Clock } from '../../clock.js';
import type { Backend } from '../../routing/backend.js';
import type { GatewayRefusal } from '../admission/gateway-refusal.js';
import type { AcceptedRequest } from '../attempt/accepted-request.js';
import { BrokenRuns } from './broken-runs.js';
import type { BackendRun, EndingEvidence } from './broken-runs.js';
import { CrashTable } from './crash-table.js';
import { NO_CRASHES } from './crash-tally.js';
import type { CrashTally, RequestCrashes, RequestFingerprint } from './crash-tally.js';
import { fingerprintOf } from './request-fingerprint.js';
import type { FingerprintedRequest } from './request-fingerprint.js';
import { ServedRequests } from './served-requests.js';

/** One run of a request, from its send on. */
export interface RequestRun extends BackendRun {
  readonly request: AcceptedRequest;
  readonly backend: Backend;
  /** What was known of the request when it was sent. */
  readonly known: CrashTally;
  /** The run of the same request that broke off before this one. */
  readonly previous: RequestRun | undefined;
  /** Its place in the row of crashes; 0 while it is not known to be one. */
  crashes: number;
}

/** Where a tally came from. */
export type TallySource = 'own' | 'peer' | 'store';

/** A crash as this gateway saw it. */
export interface CountedCrash extends RequestCrashes {
  readonly run: RequestRun;
  readonly evidence: EndingEvidence;
}

/** Who hears of crashes. */
export interface CrashingRequestsPorts {
  /** Whether a back end had announced that it leaves. */
  isLeaving(backendId: string): boolean;
  /** An answer broke off: whether its back end has ended is to be found out. */
  look(backend: Backend): void;
  /** A run of this gateway ended its back end, or went down with it. */
  onCrash(crash: CountedCrash): void;
  /** What is known of requests changed: others are to be told. */
  onNews(news: readonly RequestCrashes[], source: TallySource): void;
  /** A request is refused from now on, at each back end; what of it waits is to be answered. */
  onRefused(fingerprint: RequestFingerprint): void;
}

/** What requests ask of and tell about crashes. */
export interface RunCrashes {
  /** The refusal of a request that is to be kept from back ends. */
  refusalOf(request: FingerprintedRequest): GatewayRefusal | undefined;
  /** A request is sent to a back end, after its `previous` run broke off if there was one. */
  begin(request: AcceptedRequest, backend: Backend, previous?: RequestRun): RequestRun;
  /** A run's answer broke off; `isBrokenOffHere` if it was this gateway that ended it. */
  noteBroken(run: RequestRun, isBrokenOffHere: boolean): void;
  /** A back end ran the request to a whole answer that is none of its failures. */
  noteServed(request: AcceptedRequest): void;
  /** The process at a back end's address has ended. */
  noteEnded(backendId: string, evidence: EndingEvidence): void;
}

/** Tallies that are told at once to a gateway that connects: about 16 kB. */
const MAX_TOLD = 256;

/** Keeps requests that crash back ends from further ones. */
export class CrashingRequests implements RunCrashes {
  private readonly broken = new BrokenRuns<RequestRun>();
  private readonly served = new ServedRequests();
  private readonly fingerprints = new WeakMap<FingerprintedRequest, RequestFingerprint>();

  constructor(
    private readonly ports: CrashingRequestsPorts,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly table = new CrashTable(),
  ) {}

  /** The refusal of a request that is to be kept from back ends; it is told to stay away until it is forgotten. */
  refusalOf(request: FingerprintedRequest): GatewayRefusal | undefined {
    if (!this.isRefused(request)) {
      return undefined;
    }
    const fingerprint = this.fingerprintOf(request);
    const { forgetMs } = this.table.options;
    return { reason: 'crashes-back-ends', retryAfterMs: forgetMs, fingerprint };
  }

  /** Requests that are refused, and those that have crashed back ends less often. */
  count(): { refused: number; suspected: number } {
    return this.table.count();
  }

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

  begin(request: AcceptedRequest, backend: Backend, previous?: RequestRun): RequestRun {
    const known = this.table.isEmpty ? NO_CRASHES : this.table.tallyOf(this.fingerprintOf(request));
    const sentAtMs = this.clock.now();
    return { request, backend, backendId: backend.id, sentAtMs, known, previous, crashes: 0 };
  }

  noteBroken(run: RequestRun, isBrokenOffHere: boolean): void {
    if (this.ports.isLeaving(run.backendId)) {
      // Its end was planned, and is no request's doing.
      return;
    }
    const evidence = this.broken.note(run, isBrokenOffHere, this.clock.now());
    if (evidence !== undefined) {
      this.countCrashes([run], evidence);
    } else if (!isBrokenOffHere) {
      this.ports.look(run.backend);
    }
  }

  noteServed(request: AcceptedRequest): void {
    const fingerprint = this.fingerprintOf(request);
    if (this.table.tallyOf(fingerprint).crashes > 0) {
      this.clear([fingerprint]);
    } else {
      this.served.note(fingerprint);
    }
  }

  noteEnded(backendId: string, evidence: EndingEvidence): void {
    this.countCrashes(this.broken.takeEnded(backendId, evidence, this.clock.now()), evidence);
  }

  /** Takes in what another gateway or the store tells; returns what the teller lacks. */
  hear(told: readonly RequestCrashes[], source: TallySource): RequestCrashes[] {
    this.take(told, source);
    return told.flatMap(({ fingerprint, crashes, clearances }) => {
      const known = this.table.tallyOf(fingerprint);
      const isBehind = known.crashes !== crashes || known.clearances !== clearances;
      return isBehind ? [{ fingerprint, ...known }] : [];
    });
  }

  /** What a gateway that connects is told. */
  tell(): RequestCrashes[] {
    return this.table.newest(MAX_TOLD);
  }

  /** Operators took back what was known: nothing is refused. */
  forgetAll(): void {
    this.table.clear();
  }

  /** Forgets what is old; to be called now and then. */
  forgetOld(): void {
    this.table.forgetOld(this.clock.now());
  }

  /** The fingerprint of a request, reckoned once. */
  fingerprintOf(request: FingerprintedRequest): RequestFingerprint {
    const known = this.fingerprints.get(request) ?? fingerprintOf(request);
    this.fingerprints.set(request, known);
    return known;
  }

  private countCrashes(runs: readonly RequestRun[], evidence: EndingEvidence): void {
    const news = runs.map((run): RequestCrashes => {
      const fingerprint = this.fingerprintOf(run.request);
      const { clearances } = this.table.tallyOf(fingerprint);
      run.crashes = crashesBefore(run, clearances) + 1;
      const { crashes } = run;
      this.ports.onCrash({ fingerprint, crashes, clearances, run, evidence });
      return { fingerprint, crashes, clearances };
    });
    this.take(news, 'own');
  }

  private take(told: readonly RequestCrashes[], source: TallySource): void {
    const nowMs = this.clock.now();
    const news = told.filter((each) => this.takeOne(each, nowMs));
    if (news.length > 0) {
      this.ports.onNews(news, source);
    }
    const suspected = news.filter(({ crashes }) => crashes > 0);
    this.clear(
      suspected.map(({ fingerprint }) => fingerprint).filter((each) => this.served.takeOut(each)),
    );
  }

  /** Back ends have answered these requests: the crashes were not their doing. */
  private clear(fingerprints: readonly RequestFingerprint[]): void {
    const cleared = fingerprints.map((fingerprint): RequestCrashes => {
      const { clearances } = this.table.tallyOf(fingerprint);
      return { fingerprint, crashes: 0, clearances: clearances + 1 };
    });
    if (cleared.length > 0) {
      this.take(cleared, 'own');
    }
  }

  private takeOne(told: RequestCrashes, nowMs: number): boolean {
    const wasRefused = this.table.isRefused(told.fingerprint);
    const isNews = this.table.merge(told, nowMs);
    if (!wasRefused && this.table.isRefused(told.fingerprint)) {
      this.ports.onRefused(told.fingerprint);
    }
    return isNews;
  }
}

/**
 * Crashes that were known when a run began, its own request's earlier run included: only a run that began after
 * a crash was known adds to it, see `CrashTally.crashes`.
 */
function crashesBefore({ known, previous }: RequestRun, clearances: number): number {
  const isOfThisCount = known.clearances === clearances;
  return isOfThisCount ? Math.max(known.crashes, previous?.crashes ?? 0) : 0;
}
