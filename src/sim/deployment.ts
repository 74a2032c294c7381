/** The two deployments that simulations run on. */
import type { PolicyDocument, PolicyEntry } from '../policy/document.js';
import type { RandomSource } from '../random.js';
import { randomInteger } from '../random.js';
import type { EngineModelOptions } from '../standin/engine-model.js';
import type { NetworkOptions } from './sim-network.js';

/** Names of the available deployments. */
export type DeploymentName = 'factoring' | 'guild';

/** Properties shared by the requests of one class. */
export interface RequestClass {
  readonly name: string;
  readonly tenants: readonly string[];
  readonly model: string;
  readonly dataClass: string;
  readonly tier: number;
  readonly needsApprovedPlace: boolean;
  /** Smallest and largest prompt, in tokens; 0 for a service that runs no model. */
  readonly promptTokens: readonly [number, number];
  /** Smallest and largest output limit, in tokens. */
  readonly outputTokens: readonly [number, number];
  readonly deadlineMs: number;
  /** Relative weight of the class in the request mix. */
  readonly share: number;
  /** Whether requests are safe to retry; the others carry an idempotency key. */
  readonly isRepeatable: boolean;
}

/** A backend, its place and its speed. */
export interface BackendProfile {
  readonly name: string;
  readonly place: string;
  readonly model: string;
  /** Undefined for a service that runs no model. */
  readonly engine: EngineModelOptions | undefined;
  /** Duration of one call to a service that runs no model, in milliseconds. */
  readonly serviceMs: number;
}

/** A place and whether classes that need approval may run there. */
export interface PlaceProfile {
  readonly name: string;
  readonly isApproved: boolean;
}

/** Region, places, processes and request classes of a simulated deployment. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly region: string;
  readonly network: NetworkOptions;
  readonly places: readonly PlaceProfile[];
  readonly entries: ReadonlyArray<{ name: string; place: string }>;
  readonly backends: readonly BackendProfile[];
  readonly classes: readonly RequestClass[];
  readonly tenants: readonly string[];
}

const LOAD_LAG_MS = 2_000;
const TOKENS_PER_CHUNK = 32;
const ENGINE_CAPACITY = 2;

const FACTORING_CLASSES: readonly RequestClass[] = [
  {
    name: 'invoice-review',
    tenants: ['shop-north', 'shop-south'],
    model: 'underwriting',
    dataClass: 'invoice',
    tier: 1,
    needsApprovedPlace: true,
    promptTokens: [2_000, 8_000],
    outputTokens: [100, 300],
    deadlineMs: 8_000,
    share: 3,
    isRepeatable: true,
  },
  {
    name: 'contract-check',
    tenants: ['shop-north', 'shop-south'],
    model: 'underwriting',
    dataClass: 'contract',
    tier: 2,
    needsApprovedPlace: true,
    promptTokens: [800, 3_000],
    outputTokens: [60, 150],
    deadlineMs: 6_000,
    share: 3,
    isRepeatable: true,
  },
  {
    name: 'lookup',
    tenants: ['bookkeepers', 'agencies', 'auditors'],
    model: 'underwriting',
    dataClass: 'lookup',
    tier: 3,
    needsApprovedPlace: false,
    promptTokens: [40, 80],
    outputTokens: [16, 64],
    deadlineMs: 4_000,
    share: 4,
    isRepeatable: true,
  },
  {
    name: 'advance',
    tenants: ['shop-north'],
    model: 'ledger',
    dataClass: 'ledger',
    tier: 1,
    needsApprovedPlace: true,
    promptTokens: [0, 0],
    outputTokens: [0, 0],
    deadlineMs: 4_000,
    share: 1,
    isRepeatable: false,
  },
];

const GUILD_CLASSES: readonly RequestClass[] = [
  {
    name: 'parts-lookup',
    tenants: ['counters', 'members'],
    model: 'repair',
    dataClass: 'parts',
    tier: 1,
    needsApprovedPlace: false,
    promptTokens: [40, 80],
    outputTokens: [16, 48],
    deadlineMs: 4_000,
    share: 4,
    isRepeatable: true,
  },
  {
    name: 'diagnosis',
    tenants: ['benches', 'field'],
    model: 'repair',
    dataClass: 'diagnosis',
    tier: 2,
    needsApprovedPlace: false,
    promptTokens: [3_000, 8_000],
    outputTokens: [120, 320],
    deadlineMs: 15_000,
    share: 3,
    isRepeatable: true,
  },
  {
    name: 'warranty-claim',
    tenants: ['counters', 'makers'],
    model: 'repair',
    dataClass: 'claim',
    tier: 3,
    needsApprovedPlace: true,
    promptTokens: [600, 2_000],
    outputTokens: [60, 150],
    deadlineMs: 10_000,
    share: 3,
    isRepeatable: true,
  },
  {
    name: 'ticket',
    tenants: ['benches'],
    model: 'tickets',
    dataClass: 'ticket',
    tier: 1,
    needsApprovedPlace: true,
    promptTokens: [0, 0],
    outputTokens: [0, 0],
    deadlineMs: 4_000,
    share: 1,
    isRepeatable: false,
  },
];

/** Builds a deployment; engine and service speeds are drawn from `random`. */
export function createDeployment(name: DeploymentName, random: RandomSource): Deployment {
  const isFactoring = name === 'factoring';
  const placeNames = isFactoring
    ? ['hall-a', 'hall-b', 'hall-c']
    : ['fukuoka', 'kumamoto', 'kagoshima'];
  const classes = isFactoring ? FACTORING_CLASSES : GUILD_CLASSES;
  const model = isFactoring ? 'underwriting' : 'repair';
  const service = isFactoring ? 'ledger' : 'tickets';
  const engineCount = isFactoring ? 60 : 50;
  const fastestStepMs = isFactoring ? 3 : 6;
  const engines = Array.from({ length: engineCount }, (_, index) =>
    createEngine(placeNames[index % placeNames.length]!, index, model, fastestStepMs, random),
  );
  const services = Array.from({ length: 3 }, (_, index) => ({
    name: `${service}-${index + 1}`,
    place: placeNames[index % 2]!,
    model: service,
    engine: undefined,
    serviceMs: randomInteger(random, 10, 40),
  }));
  return {
    name,
    region: isFactoring ? 'city' : 'kyushu',
    network: isFactoring ? { localMs: 1, remoteMs: 1 } : { localMs: 0.5, remoteMs: 0.5 },
    places: placeNames.map((place, index) => ({ name: place, isApproved: index < 2 })),
    entries: placeNames.map((place, index) => ({ name: `entry-${index + 1}`, place })),
    backends: [...engines, ...services],
    classes,
    tenants: [...new Set(classes.flatMap((one) => one.tenants))],
  };
}

/**
 * Builds the initial policy of a deployment: each class is allowed on the places that it may use,
 * and engines with the label `state` = `drained` are denied to all.
 */
export function createPolicy(deployment: Deployment): PolicyDocument {
  const document: Record<string, PolicyEntry> = {
    'label.class': { kind: 'label', values: deployment.classes.map((one) => one.dataClass) },
    'label.clearance': { kind: 'label', values: ['approved', 'general'] },
    'label.state': { kind: 'label', values: ['serving', 'drained'] },
    'selector.drained': createSelector({ effect: 'deny', engine: { state: ['drained'] } }),
  };
  for (const place of deployment.places) {
    const clearance = place.isApproved ? 'approved' : 'general';
    document[`place.${place.name}`] = { kind: 'place', labels: { clearance } };
  }
  for (const backend of deployment.backends) {
    document[`engine.${backend.name}`] = {
      kind: 'engine',
      place: backend.place,
      models: [backend.model],
      labels: { state: 'serving' },
    };
  }
  for (const tenant of deployment.tenants) {
    const limits = { keys: [], weight: 1, maxConcurrent: 1_000_000 };
    document[`tenant.${tenant}`] = { kind: 'tenant', labels: {}, ...limits };
  }
  for (const requestClass of deployment.classes) {
    document[`model.${requestClass.model}`] = {
      kind: 'model',
      labels: {},
      repeatable: requestClass.isRepeatable,
    };
    document[`selector.${requestClass.name}`] = createSelector({
      effect: 'allow',
      tier: requestClass.tier,
      data: { class: [requestClass.dataClass] },
      place: requestClass.needsApprovedPlace ? { clearance: ['approved'] } : {},
    });
  }
  return document;
}

function createSelector(
  overrides: Partial<Extract<PolicyEntry, { kind: 'selector' }>>,
): Extract<PolicyEntry, { kind: 'selector' }> {
  return {
    kind: 'selector',
    effect: 'allow',
    priority: 0,
    tier: 9,
    tenant: {},
    model: {},
    data: {},
    engine: {},
    place: {},
    ...overrides,
  };
}

function createEngine(
  place: string,
  index: number,
  model: string,
  fastestStepMs: number,
  random: RandomSource,
): BackendProfile {
  const SLOWEST_FACTOR = 4;
  const factor = 1 + (SLOWEST_FACTOR - 1) * random.next();
  return {
    name: `${place}-${index + 1}`,
    place,
    model,
    serviceMs: 0,
    engine: {
      prefillTokensPerMs: 40 / factor / (fastestStepMs / 3),
      stepMs: fastestStepMs * factor,
      capacity: ENGINE_CAPACITY,
      prefixCacheTokens: 40_000,
      loadLagMs: LOAD_LAG_MS,
      tokensPerChunk: TOKENS_PER_CHUNK,
    },
  };
}
