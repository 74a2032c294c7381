/** Configurations of a run with silent backends, and the series of changes to them. */

/** What a change of the configuration affects; each change is made and later undone. */
export const CONFIGURATION_CHANGES = [
  'time-outs',
  'service-of-route',
  'pools',
  'limits',
  'attempts',
  'keys',
  'tenants',
  'routes',
  'quotas',
  'idle-time-out',
] as const;

/** One kind of change. */
export type ConfigurationChange = (typeof CONFIGURATION_CHANGES)[number];

/** Time limit of a request: the shortest time-out that any configuration sets, in milliseconds. */
export const SHORTEST_TIMEOUT_MS = 5_000;
/** API key of the tenant that sends all requests. */
export const SILENCE_API_KEY = 'silence-key';
/** Host name of all routes. */
export const SILENCE_HOST = 'silence.example';
/** Services of the plain backends. */
export const PLAIN_SERVICES = ['plain', 'plain-2'] as const;
/** Service of the engines. */
export const ENGINE_SERVICE = 'engines';

const LONG_TIMEOUT_MS = 8_000;
const ADDITIONAL_ROUTES = 350;
const ADDITIONAL_TENANTS = 40;
/** A rate that the callers do not reach, in tokens per second. */
const AMPLE_RATE_PER_S = 1_000_000;

/** Returns the configuration with the given changes in force. */
export function configurationWith(
  version: number,
  changes: ReadonlySet<ConfigurationChange>,
): object {
  const has = (change: ConfigurationChange) => changes.has(change);
  const route = (name: string, kind: string) => ({
    name,
    host: SILENCE_HOST,
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs: has('time-outs') ? SHORTEST_TIMEOUT_MS : LONG_TIMEOUT_MS,
    maxAttempts: has('attempts') ? 3 : 2,
    priority: 1,
  });
  const stream = { resumable: true, targetLatencyMs: 1_500, gapAimMs: 250 };
  const bothPools = [
    { service: 'plain', weight: 1 },
    { service: 'plain-2', weight: 3 },
  ];
  const pools = has('pools') ? { backends: bothPools } : { service: 'plain' };
  const service = has('service-of-route') ? 'plain-2' : 'plain';
  const maxConnections = has('pools') ? 300 : 400;
  return {
    version,
    routes: [
      { ...route('stream', 'streaming'), ...stream, service: ENGINE_SERVICE },
      { ...route('safe', 'safe'), targetLatencyMs: 1_000, ...pools },
      { ...route('unsafe', 'unsafe'), targetLatencyMs: 1_000, service },
      ...(has('routes') ? additional(ADDITIONAL_ROUTES, (name) => route(name, 'safe')) : []),
    ],
    services: [
      { name: ENGINE_SERVICE, maxConnections, engine: { stride: 3 } },
      ...PLAIN_SERVICES.map((name) => ({ name, maxConnections })),
    ],
    tenants: [
      {
        name: 'shop',
        apiKeys: has('keys') ? [SILENCE_API_KEY, 'another-key'] : [SILENCE_API_KEY],
        ...(has('quotas') ? { unit: 'generate', ratePerS: AMPLE_RATE_PER_S } : {}),
        burst: AMPLE_RATE_PER_S,
      },
      ...(has('tenants') ? additional(ADDITIONAL_TENANTS, tenant) : []),
    ],
    limits: {
      maxHeaderBytes: has('limits') ? 8_192 : 16_384,
      headerTimeoutMs: has('limits') ? 2_000 : 3_000,
      idleTimeoutMs: has('idle-time-out') ? 6_000 : 15_000,
    },
  };
}

function tenant(name: string) {
  return { name, apiKeys: [`key-of-${name}`] };
}

function additional<Item>(count: number, create: (name: string) => Item): Item[] {
  return Array.from({ length: count }, (_none, index) => create(`additional-${index}`));
}
