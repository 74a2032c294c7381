/** Explains the eligibility decision of a request for each engine of the policy. */
import type { RequestAttributes } from '../request/request.js';
import type { Tier } from '../request/tier.js';
import type { CompiledPolicy } from './compiled-policy.js';
import { decideEligibility, findPermittedEngines } from './eligibility.js';
import type { EligibilityDecision } from './eligibility.js';

/** Eligibility decision for one engine. */
export interface EngineExplanation {
  readonly engine: string;
  readonly place: string;
  readonly decision: EligibilityDecision;
}

/** Eligibility decisions for one request class. */
export interface RequestExplanation {
  readonly generation: number;
  /** Tier of the request; undefined if no engine is permitted. */
  readonly tier: Tier | undefined;
  /** Selector that assigned the tier; undefined if no engine is permitted. */
  readonly selector: string | undefined;
  readonly engines: readonly EngineExplanation[];
}

/** Explains the decision for every engine of the policy. */
export function explainRequest(
  policy: CompiledPolicy,
  attributes: RequestAttributes,
): RequestExplanation {
  const permitted = findPermittedEngines(policy, attributes);
  const isPermitted = permitted.engines.length > 0;
  return {
    generation: policy.generation,
    tier: isPermitted ? permitted.tier : undefined,
    selector: isPermitted ? permitted.selector : undefined,
    engines: [...policy.engines].map(([engine, entry]) => ({
      engine,
      place: entry.place,
      decision: decideEligibility(policy, attributes, engine),
    })),
  };
}
