/** Eligibility decisions: whether a request may run on an engine, at which tier and why. */
import type { CompiledPolicy, NamedSelector } from './compiled-policy.js';
import type { Conditions, EngineEntry } from './document.js';
import { NAME_CONDITION } from './validate.js';
import type { Labels, RequestAttributes } from '../request/request.js';
import { matchesLabels } from '../routing/label-matching.js';
import { LOWEST_TIER } from '../request/tier.js';
import type { Tier } from '../request/tier.js';

/** Why an engine is not permitted for a request. */
export type DenialReason =
  | 'unknown-tenant'
  | 'unknown-model'
  | 'unknown-engine'
  | 'model-not-on-engine'
  | 'denied-by-selector'
  | 'no-selector-allows';

/** Decision for one request on one engine. */
export type EligibilityDecision =
  | { readonly allowed: true; readonly tier: Tier; readonly selector: string }
  | { readonly allowed: false; readonly reason: DenialReason; readonly selector?: string };

/** Engines that a request may use, and its tier. */
export interface PermittedEngines {
  readonly engines: readonly string[];
  readonly engineSet: ReadonlySet<string>;
  /** Highest tier that a selector assigns for any of the permitted engines. */
  readonly tier: Tier;
  /** Selector that assigned the tier; empty if no engine is permitted. */
  readonly selector: string;
}

/** Decides whether a request may run on an engine: denied by default; deny overrides allow. */
export function decideEligibility(
  policy: CompiledPolicy,
  attributes: RequestAttributes,
  engineName: string,
): EligibilityDecision {
  if (!policy.tenants.has(attributes.tenant)) {
    return { allowed: false, reason: 'unknown-tenant' };
  }
  if (!policy.models.has(attributes.model)) {
    return { allowed: false, reason: 'unknown-model' };
  }
  const engine = policy.engines.get(engineName);
  if (engine === undefined) {
    return { allowed: false, reason: 'unknown-engine' };
  }
  if (!engine.models.includes(attributes.model)) {
    return { allowed: false, reason: 'model-not-on-engine' };
  }
  return decideBySelectors(policy, attributes, engineName, engine);
}

function decideBySelectors(
  policy: CompiledPolicy,
  attributes: RequestAttributes,
  engineName: string,
  engine: EngineEntry,
): EligibilityDecision {
  const selector = policy.selectors.find(
    (candidate) =>
      matchesRequest(policy, candidate, attributes) &&
      matchesEngine(policy, candidate, engineName, engine),
  );
  if (selector === undefined) {
    return { allowed: false, reason: 'no-selector-allows' };
  }
  if (selector.effect === 'deny') {
    return { allowed: false, reason: 'denied-by-selector', selector: selector.name };
  }
  return { allowed: true, tier: selector.tier, selector: selector.name };
}

function matchesRequest(
  policy: CompiledPolicy,
  selector: NamedSelector,
  attributes: RequestAttributes,
): boolean {
  const tenantLabels = policy.tenants.get(attributes.tenant)?.labels ?? {};
  const modelLabels = policy.models.get(attributes.model)?.labels ?? {};
  return (
    matchesConditions(selector.tenant, attributes.tenant, tenantLabels) &&
    matchesConditions(selector.model, attributes.model, modelLabels) &&
    matchesConditions(selector.data, '', attributes.dataLabels)
  );
}

function matchesEngine(
  policy: CompiledPolicy,
  selector: NamedSelector,
  engineName: string,
  engine: EngineEntry,
): boolean {
  const placeLabels = policy.places.get(engine.place)?.labels ?? {};
  return (
    matchesConditions(selector.engine, engineName, engine.labels) &&
    matchesConditions(selector.place, engine.place, placeLabels)
  );
}

function matchesConditions(conditions: Conditions, name: string, labels: Labels): boolean {
  return matchesLabels(conditions, (key) => (key === NAME_CONDITION ? name : labels[key]));
}

/**
 * Caches the permitted engines per request class under one policy, so that the cost per request
 * does not grow with the number of engines.
 */
export class PermittedEnginesCache {
  private readonly byClass = new Map<string, PermittedEngines>();
  private static readonly MAX_CLASSES = 10_000;

  constructor(private readonly policy: CompiledPolicy) {}

  /** Returns the engines permitted for requests with `attributes`. */
  find(attributes: RequestAttributes): PermittedEngines {
    const key = requestClassKey(attributes);
    const cached = this.byClass.get(key);
    if (cached !== undefined) {
      return cached;
    }
    if (this.byClass.size >= PermittedEnginesCache.MAX_CLASSES) {
      this.byClass.clear();
    }
    const permitted = findPermittedEngines(this.policy, attributes);
    this.byClass.set(key, permitted);
    return permitted;
  }
}

/** Returns a cache key that is equal for requests with equal policy-relevant attributes. */
export function requestClassKey(attributes: RequestAttributes): string {
  const labels = Object.entries(attributes.dataLabels).map(([key, value]) => `${key}=${value}`);
  return `${attributes.tenant}|${attributes.model}|${labels.sort().join(',')}`;
}

/** Evaluates the policy for requests with `attributes`, without caching. */
export function findPermittedEngines(
  policy: CompiledPolicy,
  attributes: RequestAttributes,
): PermittedEngines {
  const engines: string[] = [];
  let tier = LOWEST_TIER;
  let selector = '';
  for (const engineName of policy.enginesByModel.get(attributes.model) ?? []) {
    const decision = decideEligibility(policy, attributes, engineName);
    if (!decision.allowed) {
      continue;
    }
    engines.push(engineName);
    if (selector === '' || decision.tier < tier) {
      tier = decision.tier;
      selector = decision.selector;
    }
  }
  return { engines, engineSet: new Set(engines), tier, selector };
}
