/** An experiment with the gateway's policies: the fleet, the traffic and the faults of a run, read from INI. */
import { z } from 'zod';
import { parseIniSections } from '../ini-sections.js';
import { DEFAULT_REQUEST_OPTIONS } from '../gateway/attempt/request-model.js';
import type { RequestOptions } from '../gateway/attempt/request-model.js';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { readSettings } from '../settings-file.js';
import type { InvalidSettingsError } from '../settings-file.js';

const ROUTE_PREFIX = 'route.';
const BURST_PREFIX = 'burst.';
const FAULT_PREFIX = 'fault.';

/** Kinds of faults. */
export const MODEL_FAULT_KINDS = [
  'engine-crash',
  'engine-slow',
  'engine-failing',
  'gateway-power',
] as const;

/** A number that is at least `least`. */
function number(least: number) {
  return z.coerce.number().min(least);
}

/** A number that is at least `least`, with a default. */
function optional(least: number, fallback: number) {
  return number(least).default(fallback);
}

const fleetSchema = z.strictObject({
  gateways: number(1),
  engines: number(1),
  /** Requests that an engine works on at once. */
  slots: number(1),
  zones: optional(1, 3),
  /** One way between a gateway and an engine, in milliseconds. */
  linkMs: optional(0, 0.9),
  /** Time of one decoding step at the usual speed, in milliseconds. */
  stepMs: number(0.01),
  /** Time to the first token beside the reading of the prompt, in milliseconds. */
  firstMs: optional(0, 4),
  prefillTokensPerMs: number(0.1),
  tokensPerEvent: number(1),
  /** Engines' speeds are drawn between these two, 1 being the usual one; higher is faster. */
  slowest: optional(0.01, 0.68),
  fastest: optional(0.01, 3),
  /** Share of the engines that are the slowest, all others being the fastest; speeds in between without it. */
  slowShare: z.coerce.number().min(0).max(1).optional(),
});

const runSchema = z.strictObject({
  /** Whether every caller is of one tenant with a tier of its own: routes then differ in rank alone. */
  oneTier: z.enum(['true', 'false']).default('false'),
  /** Virtual time in which callers send, in seconds. */
  durationS: optional(1, 30),
});

const routeSchema = z.strictObject({
  /** Requests a second over all gateways. */
  perS: number(0),
  priority: number(0),
  targetMs: number(1),
  deadlineMs: number(1),
  maxPauseMs: optional(0, 250),
  promptTokens: number(1),
  /** Spread of the sizes: standard deviation of their logarithm. */
  spread: optional(0, 1),
  events: number(1),
  /** The same of the lengths of answers; that of the prompts where it is left out. */
  eventSpread: number(0).optional(),
  /** Share of the deadline by which callers' deadlines fall short of it at the most. */
  deadlineSpread: z.coerce.number().min(0).max(0.9).default(0),
  /** What an answer in time is worth, and a late one. */
  value: number(0),
  lateValue: number(0),
});

const burstSchema = z.strictObject({
  atS: number(0),
  forS: number(0),
  /** How many times the usual traffic. */
  factor: number(0),
});

const faultSchema = z.strictObject({
  kind: z.enum(MODEL_FAULT_KINDS),
  atS: number(0),
  forS: number(0),
  /** How many engines or gateways are struck. */
  count: number(1),
  /** How many times slower an engine turns. */
  factor: optional(1, 4),
  /** Share of its requests that a failing engine breaks off. */
  share: z.coerce.number().min(0).max(1).default(0.4),
});

/** Every option of requests may be varied by its own name. */
const optionsSchema = z.partialRecord(
  z.enum(Object.keys(DEFAULT_REQUEST_OPTIONS) as [keyof RequestOptions]),
  z.coerce.number().min(0),
);

/** One kind of request. */
export type ModelRoute = z.infer<typeof routeSchema> & { readonly name: string };
/** A time of more traffic. */
export type ModelBurst = z.infer<typeof burstSchema>;
/** A fault. */
export type ModelFault = z.infer<typeof faultSchema>;

/** A whole experiment. */
export interface Experiment {
  readonly fleet: z.infer<typeof fleetSchema>;
  readonly durationS: number;
  readonly hasOneTier: boolean;
  readonly routes: readonly ModelRoute[];
  readonly bursts: readonly ModelBurst[];
  readonly faults: readonly ModelFault[];
  readonly options: RequestOptions;
}

/**
 * Reads an experiment.
 *
 * @returns the experiment, or InvalidSettingsError with every fault and its line
 */
export function parseExperiment(text: string): Result<Experiment, InvalidSettingsError> {
  const names = parseIniSections(text).map(({ name }) => name);
  const named = (prefix: string) => names.filter((name) => name.startsWith(prefix));
  const schema = z.strictObject({
    fleet: fleetSchema,
    run: runSchema.prefault({}),
    options: optionsSchema.default({}),
    ...schemasOf(named(ROUTE_PREFIX), routeSchema),
    ...schemasOf(named(BURST_PREFIX), burstSchema),
    ...schemasOf(named(FAULT_PREFIX), faultSchema),
  });
  const read = readSettings(text, schema, (settings, at) => {
    const { gateways, engines, slowest, fastest } = settings.fleet;
    const all = settings as unknown as Record<string, ModelFault>;
    const tooMany = named(FAULT_PREFIX).filter((name) => {
      const { kind, count } = all[name]!;
      return count > (kind === 'gateway-power' ? gateways : engines);
    });
    const clashes = tooMany.map((name) => at(name, 'count', 'is more than the fleet has'));
    return slowest > fastest
      ? [...clashes, at('fleet', 'slowest', 'is more than fastest')]
      : clashes;
  });
  if (!read.ok) {
    return err(read.val);
  }
  const sections = read.val as unknown as Record<string, never>;
  const { fleet, run, options } = read.val;
  return ok({
    fleet,
    durationS: run.durationS,
    hasOneTier: run.oneTier === 'true',
    routes: named(ROUTE_PREFIX).map((name) => ({
      ...(sections[name]! as ModelRoute),
      name: name.slice(ROUTE_PREFIX.length),
    })),
    bursts: named(BURST_PREFIX).map((name) => sections[name]!),
    faults: named(FAULT_PREFIX).map((name) => sections[name]!),
    options: { ...DEFAULT_REQUEST_OPTIONS, ...options },
  });
}

function schemasOf<Schema>(names: readonly string[], schema: Schema): Record<string, Schema> {
  return Object.fromEntries(names.map((name) => [name, schema]));
}
