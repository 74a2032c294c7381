/** Gauges of a gateway whose values are collected on each scrape. */
import { readdirSync } from 'node:fs';
import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';
import type { GatewaySnapshot } from './gateway-snapshot.js';

/** Directory that lists the open file descriptors of this process. */
const OPEN_DESCRIPTORS = '/proc/self/fd';
const MS_PER_S = 1_000;

/** Registers the gauges; `read` is called once per scrape. */
export function registerGauges(registry: Registry, read: () => GatewaySnapshot): void {
  let snapshot: GatewaySnapshot | undefined;
  const current = () => {
    // All gauges of one scrape use the same snapshot, which is discarded in the next check phase of
    // the event loop.
    if (snapshot === undefined) {
      snapshot = read();
      setImmediate(() => (snapshot = undefined));
    }
    return snapshot;
  };
  const addGauge = (name: string, help: string, value: () => number | undefined) =>
    new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(value() ?? NaN);
      },
    });
  const addLabeledGauge = (
    name: string,
    help: string,
    label: string,
    values: () => ReadonlyMap<string, number>,
  ) =>
    new Gauge({
      name,
      help,
      labelNames: [label],
      registers: [registry],
      collect() {
        this.reset();
        for (const [key, value] of values()) {
          this.set({ [label]: key }, value);
        }
      },
    });
  addGauge('weirvale_store_age_seconds', 'Time since the store answered last', () =>
    inSeconds(current().storeAgeMs),
  );
  addGauge('weirvale_store_epoch', 'Epoch of the store', () => current().storeEpoch);
  // Records that a store restored from a backup lacks or shows in an older version.
  addGauge(
    'weirvale_store_records_kept',
    'Records that the store came back without and that are kept for now',
    () => current().retainedRecords,
  );
  addGauge(
    'weirvale_configuration_age_seconds',
    'Time since the configuration came into force',
    () => inSeconds(current().configurationAgeMs),
  );
  addGauge(
    'weirvale_loop_delay_seconds',
    'Longest delay of the event loop since the last reading',
    () => inSeconds(current().loopDelayMs),
  );
  addGauge(
    'weirvale_evacuated_zones',
    'Zones that operators evacuated',
    () => current().evacuatedZones,
  );
  addGauge(
    'weirvale_suspect_paths',
    'Back ends whose paths from here are believed to be cut',
    () => current().suspectedPaths,
  );
  addGauge(
    'weirvale_stream_origins',
    'Origins of streams held here, for this gateway and for others',
    () => current().streamOrigins,
  );
  addLabeledGauge(
    'weirvale_crashing_requests',
    'Requests that have crashed back ends: refused, or only suspected so far',
    'state',
    () => new Map(Object.entries(current().crashingRequests)),
  );
  addGauge('weirvale_resident_bytes', 'Memory of the process', () => process.memoryUsage.rss());
  addGauge('weirvale_open_descriptors', 'Descriptors open in the process', countDescriptors);
  addLabeledGauge(
    'weirvale_repeats_left',
    'Repeats that the retry budget still allows',
    'service',
    () => current().repeatsLeft,
  );
  addLabeledGauge(
    'weirvale_quota_used_tokens',
    'Tokens of quotas let pass here since the start',
    'tenant',
    () => current().quotaUse,
  );
  addLabeledGauge(
    'weirvale_quota_pool_tokens',
    'Tokens in the pools of quotas that this gateway holds',
    'tenant',
    () => current().quotaLevels,
  );
  addLabeledGauge(
    'weirvale_waiting_requests',
    'Requests that wait for a back end',
    'service',
    () => current().waiting,
  );
  new Gauge({
    name: 'weirvale_backend_conditions',
    help: 'What back ends said of themselves and still holds: a limit in requests a second, a rest in seconds, leaving',
    labelNames: ['backend', 'condition'],
    registers: [registry],
    collect() {
      this.reset();
      for (const { backend, condition, value } of current().conditions) {
        this.set({ backend, condition }, value);
      }
    },
  });
  new Gauge({
    name: 'weirvale_backends',
    help: 'Back ends by the state that they are believed to be in',
    labelNames: ['service', 'state'],
    registers: [registry],
    collect() {
      this.reset();
      for (const { service, state, count } of current().backends) {
        this.set({ service, state }, count);
      }
    },
  });
}

function inSeconds(timeMs: number | undefined): number | undefined {
  return timeMs === undefined ? undefined : timeMs / MS_PER_S;
}

function countDescriptors(): number | undefined {
  try {
    return readdirSync(OPEN_DESCRIPTORS).length;
  } catch {
    return undefined;
  }
}
