/** Joins the watch over paths to a gateway: its links to agents, its connections to back ends, the log. */
import type { Clock } from '../clock.js';
import type { Backend } from '../routing/backend.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { HttpBackendSender } from './attempt/http-backend-sender.js';
import type { BackendDirectory } from './dispatch/backend-directory.js';
import type { SuspicionCause } from './dispatch/path-state.js';
import { PathWatch } from './dispatch/path-watch.js';
import { onceArrivalsRead } from './links/arrivals-read.js';
import type { SlotAgentLinks } from './links/slot-agent-links.js';

/** What a gateway's paths are made from. */
export interface GatewayPathsParts {
  readonly directory: BackendDirectory;
  readonly sender: Pick<HttpBackendSender, 'endResting'>;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** The links to agents, which are kept up beside the watch. */
  links(): SlotAgentLinks;
}

/** A gateway's paths to its back ends. */
export class GatewayPaths {
  private readonly watch: PathWatch;
  /** Whatever arrived up to then has been read. */
  private readUpToMs = -Infinity;
  private hasEnded = false;

  constructor(private readonly parts: GatewayPathsParts) {
    this.watch = new PathWatch(parts.directory, {
      onSuspected: ({ backend }, cause, silentMs) => this.noteLost(backend, cause, silentMs),
      onRegained: ({ backend: { id, zone } }, ended) =>
        parts.log.write('path-regained', 'state', { backend: id, backendZone: zone, ...ended }),
    });
  }

  /** Back ends whose paths are believed to be cut. */
  countSuspect(): number {
    return this.watch.countSuspect();
  }

  /** Looks for silence and opens the links that are missing; to be called each tick. */
  tick(): void {
    onceArrivalsRead(this.parts.clock, (readUpToMs) => this.lookForSilence(readUpToMs));
  }

  /** Back ends came or went: links are opened or closed at once. */
  followBackends(): void {
    this.parts.links().maintain(this.readUpToMs);
  }

  /** Nothing is looked for any more. */
  stop(): void {
    this.hasEnded = true;
  }

  private lookForSilence(readUpToMs: number): void {
    if (this.hasEnded) {
      return;
    }
    this.readUpToMs = readUpToMs;
    this.watch.review(readUpToMs);
    this.parts.links().maintain(readUpToMs);
  }

  private noteLost(backend: Backend, cause: SuspicionCause, silentMs: number): void {
    const { id, zone, address } = backend;
    const belief = { backend: id, backendZone: zone, cause, silentMs };
    this.parts.log.write('path-suspected', 'state', belief);
    // What is sent on a resting connection now could arrive after its caller has left.
    this.parts.sender.endResting(address);
  }
}
