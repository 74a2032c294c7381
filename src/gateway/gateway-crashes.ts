/**
 * Connects the detection of requests that crash backends with a gateway's peers, store, backends
 * and log.
 */
import type { Clock } from '../clock.js';
import { BackendExits } from './backend-exits.js';
import type { BackendExitsDependencies } from './backend-exits.js';
import { pickByRendezvous } from '../membership/rendezvous.js';
import type { WeirvaleError } from '../request/errors.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { ExitProber } from './crashes/exit-prober.js';
import { CrashRecordWriter } from './crashes/crash-record.js';
import type { CrashRecord } from './crashes/crash-record.js';
import { encodeCrashRecord } from './crashes/crash-record-format.js';
import { countEnded } from './crashes/crash-tally.js';
import type { Fingerprint, FingerprintCrashes } from './crashes/crash-tally.js';
import { CrashingRequests } from './crashes/crashing-requests.js';
import type { ObservedCrash, TallySource } from './crashes/crashing-requests.js';
import { probePort } from './crashes/port-probe.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { GatewayAdapter } from './gateway-adapter.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/** Dependencies of `GatewayCrashes`. */
export interface GatewayCrashesDependencies {
  readonly directory: BackendDirectory;
  readonly adapter: Pick<GatewayAdapter, 'writeOwnRecord'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Address of this gateway for its peers, and those of the gateways that it is connected to. */
  readonly ownAddress: string;
  peerAddresses(): readonly string[];
  /** Sends crash tallies to every other gateway. */
  broadcastToPeers(tallies: readonly FingerprintCrashes[]): void;
  /** Refuses the waiting requests that have been found to crash backends. */
  refuseWaiting(): void;
  /** See `BackendExitsDependencies`. */
  storeAgeMs(): number | undefined;
  /** The requests that the end of a backend may end. */
  openRequests(): BackendExitsDependencies['requests'];
}

/** Tracks backends that end and requests that crash them. */
export class GatewayCrashes {
  readonly requests: CrashingRequests;
  readonly exits: BackendExits;
  private readonly exitProber: ExitProber;
  private readonly recordWriter: CrashRecordWriter;

  constructor(private readonly dependencies: GatewayCrashesDependencies) {
    const { directory, adapter, clock } = dependencies;
    this.requests = new CrashingRequests(
      {
        isProberOf: (fingerprint) => this.isProberOf(fingerprint),
        isLeaving: (backendId) => directory.find(backendId)?.isDraining === true,
        probe: (backend) => this.exitProber.start(backend),
        onCrash: (crash) => this.reportCrash(crash),
        onTalliesChanged: (tallies, source) => this.publishTallies(tallies, source),
        onRefused: () => dependencies.refuseWaiting(),
      },
      clock,
    );
    this.exits = new BackendExits({
      ...dependencies,
      storeAgeMs: () => dependencies.storeAgeMs(),
      crashes: this.requests,
      get requests() {
        return dependencies.openRequests();
      },
    });
    this.exitProber = new ExitProber(
      {
        hasAgent: (backendId) => directory.find(backendId)?.agent !== undefined,
        probe: probePort,
        onPortClosed: (backendId) => this.requests.recordBackendExit(backendId, 'port-closed'),
      },
      clock,
    );
    this.recordWriter = new CrashRecordWriter(
      {
        write: (requests, expected) =>
          adapter.writeOwnRecord('crashing-requests', encodeCrashRecord(requests), expected),
        onWritten: (requests, failure) => this.logWrite(requests, failure),
        timeOfDayMs: () => Date.now(),
      },
      clock,
    );
  }

  /** Merges a peer's tallies; returns those that the peer lacks. */
  mergePeerTallies(tallies: readonly FingerprintCrashes[]): readonly FingerprintCrashes[] {
    return this.requests.mergeTallies(tallies, 'peer');
  }

  /** Applies the crash record of the store. */
  applyRecord(record: CrashRecord): void {
    const { requests, epoch, revision } = record;
    const isRemoval = this.recordWriter.isRemoval(record);
    const recent = this.recordWriter.applyRecord(record);
    this.dependencies.log.write('crash-record', 'state', {
      requests: requests?.length,
      isRemoval,
      epoch,
      revision,
    });
    if (isRemoval) {
      // An operator removed the record to clear all tallies.
      this.requests.clear();
    }
    this.recordWriter.addTallies(this.requests.mergeTallies(recent, 'store'));
  }

  /** Stops writing to the store. */
  stop(): void {
    this.recordWriter.stop();
  }

  private isProberOf(fingerprint: Fingerprint): boolean {
    const { ownAddress, peerAddresses } = this.dependencies;
    const [prober] = pickByRendezvous(fingerprint, [ownAddress, ...peerAddresses()], 1);
    return prober === ownAddress;
  }

  private reportCrash({ fingerprint, crashes, run, evidence }: ObservedCrash): void {
    const { request, backendId, sentAtMs } = run;
    this.dependencies.metrics.record(({ crashes: counted }) => counted.inc({ evidence }));
    this.dependencies.log.write('backend-crashed', 'failure', {
      backend: backendId,
      evidence,
      request: request.requestId,
      fingerprint,
      crashes,
      route: request.route.name,
      tenant: request.tenant,
      promptParts: request.sharedPromptParts,
      afterMs: this.dependencies.clock.now() - sentAtMs,
    });
  }

  private publishTallies(tallies: readonly FingerprintCrashes[], source: TallySource): void {
    for (const { fingerprint, ...tally } of tallies) {
      // A first crash is already logged by `reportCrash`, for each request that ran on the backend.
      if (tally.crashes !== 1 || countEnded(tally) > 1) {
        const isRefused = this.requests.isFingerprintRefused(fingerprint);
        const fields = { fingerprint, ...tally, isRefused, source };
        this.dependencies.log.write('crashing-request', 'state', fields);
      }
    }
    if (source === 'own') {
      this.dependencies.broadcastToPeers(tallies);
      this.recordWriter.addTallies(tallies);
    }
  }

  private logWrite(requests: number, failure: WeirvaleError | undefined): void {
    const event = failure === undefined ? 'crash-record-written' : 'crash-record-not-written';
    this.dependencies.log.write(event, 'state', { requests, reason: failure?.message });
  }
}
