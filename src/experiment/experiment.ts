/**
 * Parses the INI description of an experiment with the gateway's scheduling: the simulated fleet,
 * the traffic and the faults of a run.
 */
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

/** Kinds of faults that an experiment can inject. */
export const EXPERIMENT_FAULT_KINDS = [
  'engine-crash',
  'engine-slow',
  'engine-failing',
  'gateway-power',
] as const;

/** Schema of a number of at least `minimum`. */
function numberFrom(minimum: number) {
  return z.coerce.number().min(minimum);
}

function numberWithDefault(minimum: number, defaultValue: number) {
  return numberFrom(minimum).default(defaultValue);
}

const fleetSchema = z.strictObject({
  gateways: numberFrom(1),
  engines: numberFrom(1),
  /** Number of requests that an engine runs concurrently. */
  slots: numberFrom(1),
  zones: numberWithDefault(1, 3),
  /** One-way network latency between a gateway and an engine, in milliseconds. */
  linkMs: numberWithDefault(0, 0.9),
  /** Duration of one decoding step at the reference speed, in milliseconds. */
  stepMs: numberFrom(0.01),
  /** Time to the first token in addition to the prefill, in milliseconds. */
  firstMs: numberWithDefault(0, 4),
  prefillTokensPerMs: numberFrom(0.1),
  tokensPerEvent: numberFrom(1),
  /** Range of the engines' random speed factors; 1 is the reference speed, higher is faster. */
  slowest: numberWithDefault(0.01, 0.68),
  fastest: numberWithDefault(0.01, 3),
  /**
   * Share of the engines that run at the slowest speed, the others running at the fastest; if
   * omitted, speeds are drawn from the whole range.
   */
  slowShare: z.coerce.number().min(0).max(1).optional(),
});

const runSchema = z.strictObject({
  /**
   * Whether all callers belong to one tenant with its own tier, so that routes differ only in their
   * rank within the tier.
   */
  oneTier: z.enum(['true', 'false']).default('false'),
  /** Virtual time during which callers send requests, in seconds. */
  durationS: numberWithDefault(1, 30),
});

const routeSchema = z.strictObject({
  /** Requests per second over all gateways. */
  perS: numberFrom(0),
  priority: numberFrom(0),
  targetMs: numberFrom(1),
  deadlineMs: numberFrom(1),
  maxPauseMs: numberWithDefault(0, 250),
  promptTokens: numberFrom(1),
  /** Standard deviation of the logarithm of the prompt length. */
  spread: numberWithDefault(0, 1),
  events: numberFrom(1),
  /** Same for the response length; defaults to `spread`. */
  eventSpread: numberFrom(0).optional(),
  /** Maximum share of `deadlineMs` by which a caller's own deadline is shorter. */
  deadlineSpread: z.coerce.number().min(0).max(0.9).default(0),
  /** Value of a response on time, and of a late one. */
  value: numberFrom(0),
  lateValue: numberFrom(0),
});

const burstSchema = z.strictObject({
  atS: numberFrom(0),
  forS: numberFrom(0),
  /** Multiplies the request rate of every route. */
  factor: numberFrom(0),
});

const faultSchema = z.strictObject({
  kind: z.enum(EXPERIMENT_FAULT_KINDS),
  atS: numberFrom(0),
  forS: numberFrom(0),
  /** Number of affected engines or gateways. */
  count: numberFrom(1),
  /** Slowdown factor of a slow engine. */
  factor: numberWithDefault(1, 4),
  /** Share of its requests that a failing engine aborts. */
  share: z.coerce.number().min(0).max(1).default(0.4),
});

/** Overrides of request options, by option name. */
const optionsSchema = z.partialRecord(
  z.enum(Object.keys(DEFAULT_REQUEST_OPTIONS) as [keyof RequestOptions]),
  z.coerce.number().min(0),
);

/** Traffic of one route, named after its section. */
export type ExperimentRoute = z.infer<typeof routeSchema> & { readonly name: string };
/** Period in which the request rate is multiplied by a factor. */
export type TrafficBurst = z.infer<typeof burstSchema>;
/** Fault injected for a limited time. */
export type ExperimentFault = z.infer<typeof faultSchema>;

/** Complete description of an experiment. */
export interface Experiment {
  readonly fleet: z.infer<typeof fleetSchema>;
  readonly durationS: number;
  readonly hasOneTier: boolean;
  readonly routes: readonly ExperimentRoute[];
  readonly bursts: readonly TrafficBurst[];
  readonly faults: readonly ExperimentFault[];
  readonly options: RequestOptions;
}

/**
 * Parses an experiment file.
 *
 * @returns the experiment, or InvalidSettingsError with every problem and its line
 */
export function parseExperiment(text: string): Result<Experiment, InvalidSettingsError> {
  const names = parseIniSections(text).map(({ name }) => name);
  const namesWith = (prefix: string) => names.filter((name) => name.startsWith(prefix));
  const schema = z.strictObject({
    fleet: fleetSchema,
    run: runSchema.prefault({}),
    options: optionsSchema.default({}),
    ...schemasFor(namesWith(ROUTE_PREFIX), routeSchema),
    ...schemasFor(namesWith(BURST_PREFIX), burstSchema),
    ...schemasFor(namesWith(FAULT_PREFIX), faultSchema),
  });
  const parsed = readSettings(text, schema, (settings, problemAt) => {
    const { gateways, engines, slowest, fastest } = settings.fleet;
    const faultSections = settings as unknown as Record<string, ExperimentFault>;
    const excessive = namesWith(FAULT_PREFIX).filter((name) => {
      const { kind, count } = faultSections[name]!;
      return count > (kind === 'gateway-power' ? gateways : engines);
    });
    const problems = excessive.map((name) =>
      problemAt(name, 'count', 'is more than the fleet has'),
    );
    return slowest > fastest
      ? [...problems, problemAt('fleet', 'slowest', 'is greater than fastest')]
      : problems;
  });
  if (!parsed.ok) {
    return err(parsed.val);
  }
  const sections = parsed.val as unknown as Record<string, never>;
  const { fleet, run, options } = parsed.val;
  return ok({
    fleet,
    durationS: run.durationS,
    hasOneTier: run.oneTier === 'true',
    routes: namesWith(ROUTE_PREFIX).map((name) => ({
      ...(sections[name]! as ExperimentRoute),
      name: name.slice(ROUTE_PREFIX.length),
    })),
    bursts: namesWith(BURST_PREFIX).map((name) => sections[name]!),
    faults: namesWith(FAULT_PREFIX).map((name) => sections[name]!),
    options: { ...DEFAULT_REQUEST_OPTIONS, ...options },
  });
}

function schemasFor<Schema>(names: readonly string[], schema: Schema): Record<string, Schema> {
  return Object.fromEntries(names.map((name) => [name, schema]));
}
