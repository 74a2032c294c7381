/** Joins the limits of slow starts to what a gateway knows: configuration, zones, other gateways, log and metrics. */
import type { Clock } from '../clock.js';
import { coldStartBound } from '../routing/cold-start.js';
import type { ColdStartBound, ColdStartLimits, Coldness } from '../routing/cold-start.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { ConfigurationInForce } from './configuration-in-force.js';
import { coldShare } from './dispatch/cold-share.js';
import type { GatewayView } from './dispatch/cold-share.js';
import { ColdStarts } from './dispatch/cold-starts.js';
import type { KnownBackend } from './dispatch/known-backend.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/** What the limits are made from. */
export interface GatewayColdStartsParts {
  readonly limits: ColdStartLimits;
  readonly configuration: ConfigurationInForce;
  /** When this process learned that a zone was taken back into use; undefined if it was not. */
  returnedAtMs(zone: string): number | undefined;
  /** What this gateway knows of the others. */
  view(): GatewayView;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** Creates the limits of one gateway. */
export function createColdStarts(parts: GatewayColdStartsParts): ColdStarts {
  const { metrics } = parts;
  const bounds = new ServiceBounds(parts);
  return new ColdStarts({
    boundOf: (service) => bounds.find(service),
    returnedAtMs: (zone) => parts.returnedAtMs(zone),
    share: (backendId, total, nowMs) => coldShare(parts.view(), backendId, total, nowMs),
    onHeld: ({ backend: { service } }) =>
      metrics.record(({ startsHeld }) => startsHeld.inc({ service })),
    onChange: (known, coldness) => noteChange(known, coldness, parts),
  });
}

/** The bounds of the configuration in force, reckoned once for each version: each choice of a back end asks. */
class ServiceBounds {
  private readonly bounds = new Map<string, ColdStartBound | undefined>();
  private version: number | undefined;

  constructor(private readonly parts: Pick<GatewayColdStartsParts, 'configuration' | 'limits'>) {}

  find(service: string): ColdStartBound | undefined {
    const { configuration, limits } = this.parts;
    if (configuration.version !== this.version) {
      this.version = configuration.version;
      this.bounds.clear();
    }
    if (!this.bounds.has(service)) {
      const coldStart = configuration.coldStartOf(service);
      this.bounds.set(service, coldStart && coldStartBound(coldStart, limits));
    }
    return this.bounds.get(service);
  }
}

function noteChange(
  { backend, agent }: KnownBackend,
  coldness: Coldness | undefined,
  { log, clock }: GatewayColdStartsParts,
): void {
  const nowMs = clock.now();
  log.write(coldness === undefined ? 'cold-limit-left' : 'cold-limit-entered', 'state', {
    backend: backend.id,
    reason: coldness?.reason,
    ageMs: coldness && nowMs - coldness.sinceMs,
    leftMs: coldness && coldness.untilMs - nowMs,
    isAgentConnected: agent !== undefined,
    revision: backend.revision,
  });
}
