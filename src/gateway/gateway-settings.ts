/** Settings of a gateway and of a slot agent: every option with its unit and default. */
import { z } from 'zod';
import type { Result } from '../result.js';
import { readSettings } from '../settings-file.js';
import type { InvalidSettingsError } from '../settings-file.js';

const MAX_NUMBER = 1_000_000_000;

function number(fallback: number) {
  return z
    .string()
    .regex(/^\d+(\.\d+)?$/, 'must be a number')
    .transform(Number)
    .pipe(z.number().min(0).max(MAX_NUMBER))
    .default(fallback);
}

function address() {
  return z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$/, 'must be IP:PORT');
}

function list() {
  return z
    .string()
    .default('')
    .transform((text) => text.split(',').map((item) => item.trim()))
    .transform((items) => items.filter((item) => item !== ''));
}

const settingsSchema = z.object({
  process: z.object({
    /** What this process does. */
    role: z.literal(['gateway', 'slot-agent']),
    /** Unique name of the process. */
    name: z.string().min(1),
    zone: z.string().min(1),
    /** IPv4 address that listeners bind to. */
    address: z.string().min(1),
  }),
  listen: z
    .object({
      /** Callers' interface, IP:PORT (gateway). */
      callers: address().default(''),
      /** Readiness, IP:PORT (gateway). */
      readiness: address().default(''),
      /** Other gateways, IP:PORT (gateway). */
      peers: address().default(''),
      /** Port that agents listen on. */
      slotAgentPort: number(7_600),
      /** Port of the metrics; 0 for none. */
      metricsPort: number(0),
    })
    .prefault({}),
  cluster: z
    .object({
      /** Addresses of gateways to begin with, IP:PORT, separated by commas. */
      seeds: list(),
      /** The store, IP:PORT. */
      store: address().default(''),
      /** Longest time for a call of the store beside its wait, in milliseconds. Default 1,500. */
      storeTimeoutMs: number(1_500),
    })
    .prefault({}),
  engine: z
    .object({
      /** The engine beside a slot agent, IP:PORT. */
      address: address().default(''),
    })
    .prefault({}),
  limits: z
    .object({
      /** Repeats allowed for each request of a service. Default 0.2. */
      retryRatio: number(0.2),
      /** Window of the retry limit, in seconds. Default 10. */
      retryWindowS: number(10),
      /** Repeats allowed in a window beside the ratio, over all gateways. Default 50. */
      retrySlack: number(50),
      /** Share above a tenant's rate that is tolerated. Default 0.1. */
      quotaOver: number(0.1),
      /** Tokens above a tenant's rate and burst that are tolerated. Default 10,000. */
      quotaSlack: number(10_000),
      /** Time from the stop signal to the kill, in seconds. Default 8. */
      stopGraceS: number(8),
    })
    .prefault({}),
  log: z
    .object({
      /** Most log lines a second. Default 200. */
      linesPerS: number(200),
    })
    .prefault({}),
});

/** Settings of a gateway or slot agent, complete. */
export type GatewaySettings = z.infer<typeof settingsSchema>;

/**
 * Reads settings; keys that are not known are ignored.
 *
 * @returns complete settings, or InvalidSettingsError with every fault and its line
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
