/** Joins what is known of crashing requests to a gateway: its peers, the store, its back ends, the log. */
import type { Clock } from '../clock.js';
import type { WeirvaleError } from '../request/errors.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { CrashLooks } from './crashes/crash-looks.js';
import { CrashRecordWriter } from './crashes/crash-record.js';
import type { CrashRecord } from './crashes/crash-record.js';
import { encodeCrashRecord } from './crashes/crash-record-format.js';
import type { RequestCrashes } from './crashes/crash-tally.js';
import { CrashingRequests } from './crashes/crashing-requests.js';
import type { CountedCrash, TallySource } from './crashes/crashing-requests.js';
import { lookAtPort } from './crashes/port-look.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { GatewayAdapter } from './gateway-adapter.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/** What a gateway's knowledge of crashes is made from. */
export interface GatewayCrashesParts {
  readonly directory: BackendDirectory;
  readonly adapter: Pick<GatewayAdapter, 'writeOwnRecord'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Tells every other gateway. */
  tellPeers(news: readonly RequestCrashes[]): void;
  /** Answers what waits of the requests that are refused from now on. */
  refuseWaiting(): void;
}

/** A gateway's knowledge of requests that crash back ends. */
export class GatewayCrashes {
  readonly requests: CrashingRequests;
  private readonly looks: CrashLooks;
  private readonly record: CrashRecordWriter;

  constructor(private readonly parts: GatewayCrashesParts) {
    const { directory, adapter, clock } = parts;
    this.requests = new CrashingRequests(
      {
        isLeaving: (backendId) => directory.find(backendId)?.isLeaving === true,
        look: (backend) => this.looks.begin(backend),
        onCrash: (crash) => this.noteCrash(crash),
        onNews: (news, source) => this.noteNews(news, source),
        onRefused: () => parts.refuseWaiting(),
      },
      clock,
    );
    this.looks = new CrashLooks(
      {
        hasAgent: (backendId) => directory.find(backendId)?.agent !== undefined,
        look: lookAtPort,
        onClosed: (backendId) => this.requests.noteEnded(backendId, 'port-closed'),
      },
      clock,
    );
    this.record = new CrashRecordWriter(
      {
        write: (requests, expected) =>
          adapter.writeOwnRecord('crashing-requests', encodeCrashRecord(requests), expected),
        onWritten: (requests, failure) => this.noteWritten(requests, failure),
        timeOfDayMs: () => Date.now(),
      },
      clock,
    );
  }

  /** Takes in what a peer tells; returns what that lacks. */
  hear(told: readonly RequestCrashes[]): readonly RequestCrashes[] {
    return this.requests.hear(told, 'peer');
  }

  /** Takes in the store's record. */
  takeRecord(record: CrashRecord): void {
    const { requests, epoch, revision } = record;
    const recent = this.record.take(record);
    this.parts.log.write('crash-record', 'state', {
      requests: requests?.length,
      epoch,
      revision,
    });
    if (requests === undefined) {
      // Operators removed it.
      this.requests.forgetAll();
    }
    this.record.add(this.requests.hear(recent, 'store'));
  }

  /** Nothing is written any more. */
  stop(): void {
    this.record.stop();
  }

  private noteCrash({ fingerprint, crashes, run, evidence }: CountedCrash): void {
    const { request, backendId, sentAtMs } = run;
    this.parts.metrics.record(({ crashes: counted }) => counted.inc({ evidence }));
    this.parts.log.write('backend-crashed', 'failure', {
      backend: backendId,
      evidence,
      request: request.requestId,
      fingerprint,
      crashes,
      route: request.route.name,
      tenant: request.tenant,
      afterMs: this.parts.clock.now() - sentAtMs,
    });
  }

  private noteNews(news: readonly RequestCrashes[], source: TallySource): void {
    for (const { fingerprint, crashes, clearances } of news) {
      // Of a first crash the line of the crash itself tells, of each request that was at work there.
      if (crashes !== 1) {
        const fields = { fingerprint, crashes, clearances, source };
        this.parts.log.write('crashing-request', 'state', fields);
      }
    }
    if (source === 'own') {
      this.parts.tellPeers(news);
      this.record.add(news);
    }
  }

  private noteWritten(requests: number, failure: WeirvaleError | undefined): void {
    const event = failure === undefined ? 'crash-record-written' : 'crash-record-not-written';
    this.parts.log.write(event, 'state', { requests, reason: failure?.message });
  }
}
