/**
 * Connects the cold-start rate limits to a gateway's configuration, zones, view of peers, log and
 * metrics.
 */
import type { Clock } from '../clock.js';
import { coldStartBound } from '../routing/cold-start.js';
import type { ColdStartBound, ColdStartLimits, ColdPeriod } from '../routing/cold-start.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { ActiveConfiguration } from './active-configuration.js';
import { coldStartShare } from './dispatch/cold-start-share.js';
import type { PeerView } from './dispatch/cold-start-share.js';
import { ColdStartLimiter } from './dispatch/cold-start-limiter.js';
import type { KnownBackend } from './dispatch/known-backend.js';
import type { GatewayMetrics } from './metrics/gateway-metrics.js';

/** Dependencies of the cold-start limits. */
export interface GatewayColdStartsDependencies {
  readonly limits: ColdStartLimits;
  readonly configuration: ActiveConfiguration;
  /**
   * When this process learned that a zone's evacuation had ended; undefined if the zone is still
   * evacuated or never was.
   */
  returnedAtMs(zone: string): number | undefined;
  /** This gateway's view of the other gateways. */
  view(): PeerView;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
}

/** Creates the cold-start limits of one gateway. */
export function createColdStarts(dependencies: GatewayColdStartsDependencies): ColdStartLimiter {
  const { metrics } = dependencies;
  const bounds = new ServiceBoundsCache(dependencies);
  return new ColdStartLimiter({
    startLimitOf: (service) => bounds.find(service),
    returnedAtMs: (zone) => dependencies.returnedAtMs(zone),
    share: (backendId, total, nowMs) =>
      coldStartShare(dependencies.view(), backendId, total, nowMs),
    onStartDelayed: ({ backend: { service } }) =>
      metrics.record(({ startsHeld }) => startsHeld.inc({ service })),
    onChange: (known, coldPeriod) => logChange(known, coldPeriod, dependencies),
  });
}

/** Caches the bounds per configuration version, as they are needed for each backend selection. */
class ServiceBoundsCache {
  private readonly bounds = new Map<string, ColdStartBound | undefined>();
  private version: number | undefined;

  constructor(
    private readonly dependencies: Pick<GatewayColdStartsDependencies, 'configuration' | 'limits'>,
  ) {}

  find(service: string): ColdStartBound | undefined {
    const { configuration, limits } = this.dependencies;
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

function logChange(
  { backend, agent }: KnownBackend,
  coldPeriod: ColdPeriod | undefined,
  { log, clock }: GatewayColdStartsDependencies,
): void {
  const nowMs = clock.now();
  log.write(coldPeriod === undefined ? 'cold-limit-left' : 'cold-limit-entered', 'state', {
    backend: backend.id,
    reason: coldPeriod?.reason,
    ageMs: coldPeriod && nowMs - coldPeriod.sinceMs,
    leftMs: coldPeriod && coldPeriod.untilMs - nowMs,
    isAgentConnected: agent !== undefined,
    revision: backend.revision,
  });
}
