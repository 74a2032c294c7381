/** Joins the limits of slow starts to what a gateway knows: configuration, zones, other gateways, log and metrics. */
import type { Clock } from '../clock.js';
import { coldStartBound } from '../routing/cold-start.js';
import type { ColdStartBound, ColdStartLimits, Coldness } from '../routing/cold-start.js';
import type { ZoneEvacuations } from '../routing/zone-evacuations.js';
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
  readonly evacuations: ZoneEvacuations;
  /** What this gateway knows of the others. */
  view(): GatewayView;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** Creates the limits of one gateway. */
export function createColdStarts(parts: GatewayColdStartsParts): ColdStarts {
  const { evacuations, metrics } = parts;
  return new ColdStarts({
    boundOf: (service) => boundOf(service, parts),
    returnedAtMs: (zone) => evacuations.returnedAtMs(zone),
    share: (backendId, total, nowMs) => coldShare(parts.view(), backendId, total, nowMs),
    onHeld: ({ backend: { service } }) =>
      metrics.record(({ startsHeld }) => startsHeld.inc({ service })),
    onChange: (known, coldness) => noteChange(known, coldness, parts),
  });
}

function boundOf(
  service: string,
  { configuration, limits }: GatewayColdStartsParts,
): ColdStartBound | undefined {
  const coldStart = configuration.coldStartOf(service);
  return coldStart && coldStartBound(coldStart, limits);
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
