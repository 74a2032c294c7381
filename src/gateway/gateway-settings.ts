/** Settings schema of gateways and slot agents, with the unit and default of each option. */
import * as z from 'zod/mini';
import type { Result } from '../result.js';
import { readSettings } from '../settings-file.js';
import type { InvalidSettingsError } from '../settings-file.js';

const MAX_NUMBER = 1_000_000_000;

/** A number; an empty value means the default, as templates leave unset options empty. */
function number(fallback: number) {
  const value = z.pipe(
    z.string().check(z.regex(/^(\d+(\.\d+)?)?$/, 'must be a number')),
    z.transform((text: string) => (text === '' ? fallback : Number(text))),
  );
  const bounded = z.pipe(value, z.number().check(z.minimum(0), z.maximum(MAX_NUMBER)));
  return z._default(bounded, fallback);
}

function address() {
  const value = z.string().check(z.regex(/^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$/, 'must be IP:PORT'));
  return z._default(value, '');
}

function requiredText() {
  return z.string().check(z.minLength(1));
}

function list() {
  const split = (text: string) =>
    text
      .split(',')
      .map((item) => item.trim())
      .filter((item) => item !== '');
  return z.pipe(z._default(z.string(), ''), z.transform(split));
}

/** Parses a comma-separated list of `zone:region` pairs. */
function zoneRegions() {
  const pairs = z._default(
    z.string().check(z.regex(/^\s*([^:,\s]+:[^:,\s]+\s*(,\s*|$))*$/, 'must be ZONE:REGION, ...')),
    '',
  );
  const split = (text: string): ReadonlyMap<string, string> =>
    new Map(
      text
        .split(',')
        .map((item) => item.trim())
        .filter((item) => item !== '')
        .map((item) => item.split(':') as [string, string]),
    );
  return z.pipe(pairs, z.transform(split));
}

const settingsSchema = z.object({
  process: z.object({
    /** Role of this process. */
    role: z.literal(['gateway', 'slot-agent']),
    /** Unique name of the process. */
    name: requiredText(),
    zone: requiredText(),
    /** Region of the zone; empty if the deployment has no regions. */
    region: z._default(z.string(), ''),
    /** IPv4 address that listeners bind to. */
    address: requiredText(),
  }),
  places: z.prefault(
    z.object({
      /** Every zone with its region, as comma-separated ZONE:REGION pairs. */
      zones: zoneRegions(),
    }),
    {},
  ),
  listen: z.prefault(
    z.object({
      /** Listener for callers, IP:PORT (gateway). */
      callers: address(),
      /** Listener for readiness probes, IP:PORT (gateway). */
      readiness: address(),
      /** Listener for other gateways, IP:PORT (gateway). */
      peers: address(),
      /** Port that slot agents listen on. */
      slotAgentPort: number(7_600),
      /** Port of the metrics endpoint; 0 disables it. */
      metricsPort: number(0),
    }),
    {},
  ),
  cluster: z.prefault(
    z.object({
      /** Initial gateway addresses, as comma-separated IP:PORT. */
      seeds: list(),
      /** Address of the store, IP:PORT. */
      store: address(),
      /** Timeout of a store call beyond its long-poll wait, in milliseconds. Default 1,500. */
      storeTimeoutMs: number(1_500),
    }),
    {},
  ),
  engine: z.prefault(
    z.object({
      /** Address of the engine on the machine of a slot agent, IP:PORT. */
      address: address(),
    }),
    {},
  ),
  limits: z.prefault(
    z.object({
      /** Retries allowed per request of a service. Default 0.2. */
      retryRatio: number(0.2),
      /** Window of the retry budget, in seconds. Default 10. */
      retryWindowS: number(10),
      /** Retries allowed per window in addition to the ratio, over all gateways. Default 50. */
      retrySlack: number(50),
      /** Tolerated excess over a tenant's rate, as a share of it. Default 0.1. */
      quotaOver: number(0.1),
      /** Tolerated tokens above a tenant's rate and burst. Default 10,000. */
      quotaSlack: number(10_000),
      /** Window over which a tenant's quota is measured, in seconds. Default 8. */
      quotaWindowS: number(8),
      /** Grace period from the stop signal to the kill, in seconds. Default 8. */
      stopGraceS: number(8),
      /**
       * Factor on a service's cold-start rate that bounds the requests per second which all
       * gateways together send to a cold backend. Default 1: exactly the rate that the service
       * sets.
       */
      coldOver: number(1),
      /** Requests per second allowed in addition to that. Default 0. */
      coldSlack: number(0),
      /** Memory of the machine, in MiB; 0 if unknown: that of the runtime's heap. Default 0. */
      memoryMb: number(0),
      /**
       * Memory that the requests of all callers may take together, in MiB. Beyond it the caller that
       * takes most is refused or disconnected. Default 0: 12 in 100 of the machine's memory.
       */
      callerMemoryMb: number(0),
      /** Descriptors that the process may have open; 0 if unknown. Default 0. */
      maxFds: number(0),
      /**
       * Connections of callers that may be open at the same time. For a further one, the oldest
       * without an open request is closed. Default 0: three quarters of `maxFds` less 200 for
       * files, or no limit if that is not known.
       */
      maxCallerConnections: number(0),
    }),
    {},
  ),
  log: z.prefault(
    z.object({
      /** Maximum log lines per second. Default 200. */
      linesPerS: number(200),
    }),
    {},
  ),
});

/** Complete settings of a gateway or slot agent. */
export type GatewaySettings = z.infer<typeof settingsSchema>;

/**
 * Parses settings; unknown keys are ignored.
 *
 * @returns complete settings, or InvalidSettingsError with every invalid value and its line
 */
export function parseGatewaySettings(text: string): Result<GatewaySettings, InvalidSettingsError> {
  return readSettings(text, settingsSchema, (settings, at) => {
    const required =
      settings.process.role === 'gateway'
        ? ([
            ['listen', 'callers', settings.listen.callers],
            ['listen', 'readiness', settings.listen.readiness],
            ['cluster', 'store', settings.cluster.store],
          ] as const)
        : ([['engine', 'address', settings.engine.address]] as const);
    return required
      .filter(([, , value]) => value === '')
      .map(([section, key]) => at(section, key, 'must be set for this role'));
  });
}
