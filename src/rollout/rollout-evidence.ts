/**
 * Request outcomes of a rollout by route and version, aggregated over all gateways that have
 * reported.
 */
import { evaluateVersion, logLikelihoodRatio } from './sequential-test.js';
import type { OutcomeCounts, Verdict } from './sequential-test.js';

/** Outcomes of one route, as one gateway counted them since it received the order. */
export interface RouteOutcomes {
  readonly target: OutcomeCounts;
  /** Outcomes of the version in force over the same period. */
  readonly inForce: OutcomeCounts;
}

/** Outcomes by route. */
export type OutcomesByRoute = Readonly<Record<string, RouteOutcomes>>;

const NO_REQUESTS: OutcomeCounts = { ended: 0, bad: 0 };
const NO_OUTCOMES: RouteOutcomes = { target: NO_REQUESTS, inForce: NO_REQUESTS };

/** Collects the outcomes of one rollout and evaluates the target version. */
export class RolloutEvidence {
  private readonly own = new Map<string, RouteOutcomes>();
  /** Latest report of each peer; that of a peer that has ended still counts. */
  private readonly peerOutcomes = new Map<string, OutcomesByRoute>();
  /** Cached totals over all gateways; undefined after a change. */
  private totals: ReadonlyMap<string, RouteOutcomes> | undefined;

  /** Counts a completed request of this gateway. */
  recordOutcome(route: string, isTarget: boolean, isBad: boolean): void {
    const before = this.own.get(route) ?? NO_OUTCOMES;
    const version = isTarget ? 'target' : 'inForce';
    const { ended, bad } = before[version];
    this.own.set(route, {
      ...before,
      [version]: { ended: ended + 1, bad: bad + Number(isBad) },
    });
    this.totals = undefined;
  }

  /** Replaces the outcomes of a peer by those it has counted since it received the order. */
  setPeerOutcomes(peer: string, outcomes: OutcomesByRoute): void {
    this.peerOutcomes.set(peer, outcomes);
    this.totals = undefined;
  }

  /** Outcomes that this gateway counted. */
  get ownOutcomes(): OutcomesByRoute {
    return Object.fromEntries(this.own);
  }

  /** Number of requests completed at the target version, over all gateways. */
  get targetEnded(): number {
    return this.testedRoutes.reduce((sum, { target }) => sum + target.ended, 0);
  }

  /** Whether the target version is more likely good than bad on every tested route. */
  get isLikelyGood(): boolean {
    return this.testedRoutes.every(
      ({ target, inForce }) => logLikelihoodRatio(target, inForce) < 0,
    );
  }

  /** Bad as soon as one tested route is bad, good once all are good. */
  get verdict(): Verdict {
    const verdicts = this.testedRoutes.map(({ target, inForce }) =>
      evaluateVersion(target, inForce),
    );
    if (verdicts.includes('bad')) {
      return 'bad';
    }
    return verdicts.length > 0 && verdicts.every((verdict) => verdict === 'good') ? 'good' : 'open';
  }

  /** Outcomes of the routes with requests completed at the target version. */
  private get testedRoutes(): RouteOutcomes[] {
    this.totals ??= this.computeTotals();
    return [...this.totals.values()].filter(({ target }) => target.ended > 0);
  }

  private computeTotals(): Map<string, RouteOutcomes> {
    const totals = new Map<string, RouteOutcomes>(this.own);
    for (const outcomes of this.peerOutcomes.values()) {
      for (const [route, { target, inForce }] of Object.entries(outcomes)) {
        const total = totals.get(route) ?? NO_OUTCOMES;
        totals.set(route, {
          target: add(total.target, target),
          inForce: add(total.inForce, inForce),
        });
      }
    }
    return totals;
  }
}

function add(left: OutcomeCounts, right: OutcomeCounts): OutcomeCounts {
  return { ended: left.ended + right.ended, bad: left.bad + right.bad };
}
