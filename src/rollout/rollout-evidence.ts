/** How the requests of a roll-out ended, by route and version, over all gateways that were heard. */
import { judge, likelihoodRatio } from './sequential-test.js';
import type { OutcomeCounts, Verdict } from './sequential-test.js';

/** Outcomes of one route, as one gateway saw them since it learned of the order. */
export interface RouteOutcomes {
  readonly target: OutcomeCounts;
  /** Of the version in force, at the same time. */
  readonly inForce: OutcomeCounts;
}

/** Outcomes by route. */
export type OutcomesByRoute = Readonly<Record<string, RouteOutcomes>>;

const NONE: OutcomeCounts = { ended: 0, bad: 0 };
const NO_OUTCOMES: RouteOutcomes = { target: NONE, inForce: NONE };

/** Evidence of one roll-out. */
export class RolloutEvidence {
  private readonly own = new Map<string, RouteOutcomes>();
  /** What each peer told last; what a peer saw before it died stays. */
  private readonly heard = new Map<string, OutcomesByRoute>();
  /** The sums over all gateways; undefined once something was added to them. */
  private sums: ReadonlyMap<string, RouteOutcomes> | undefined;

  /** A request of this gateway ended. */
  note(route: string, isTarget: boolean, isBad: boolean): void {
    const before = this.own.get(route) ?? NO_OUTCOMES;
    const version = isTarget ? 'target' : 'inForce';
    const { ended, bad } = before[version];
    this.own.set(route, {
      ...before,
      [version]: { ended: ended + 1, bad: bad + Number(isBad) },
    });
    this.sums = undefined;
  }

  /** A peer told what it saw since it learned of the order. */
  hear(peer: string, outcomes: OutcomesByRoute): void {
    this.heard.set(peer, outcomes);
    this.sums = undefined;
  }

  /** What this gateway saw. */
  get ownOutcomes(): OutcomesByRoute {
    return Object.fromEntries(this.own);
  }

  /** Requests that ended at the target version, over all gateways. */
  get targetEnded(): number {
    return this.tried.reduce((sum, { target }) => sum + target.ended, 0);
  }

  /** Whether every route that was tried is likelier good than bad. */
  get leansGood(): boolean {
    return this.tried.every(({ target, inForce }) => likelihoodRatio(target, inForce) < 0);
  }

  /** Bad as soon as one route is, good once every route that was tried is. */
  get verdict(): Verdict {
    const verdicts = this.tried.map(({ target, inForce }) => judge(target, inForce));
    if (verdicts.includes('bad')) {
      return 'bad';
    }
    return verdicts.length > 0 && verdicts.every((verdict) => verdict === 'good') ? 'good' : 'open';
  }

  /** Outcomes of the routes of which requests ended at the target version. */
  private get tried(): RouteOutcomes[] {
    this.sums ??= this.sum();
    return [...this.sums.values()].filter(({ target }) => target.ended > 0);
  }

  private sum(): Map<string, RouteOutcomes> {
    const sums = new Map<string, RouteOutcomes>(this.own);
    for (const outcomes of this.heard.values()) {
      for (const [route, { target, inForce }] of Object.entries(outcomes)) {
        const sum = sums.get(route) ?? NO_OUTCOMES;
        sums.set(route, { target: add(sum.target, target), inForce: add(sum.inForce, inForce) });
      }
    }
    return sums;
  }
}

function add(left: OutcomeCounts, right: OutcomeCounts): OutcomeCounts {
  return { ended: left.ended + right.ended, bad: left.bad + right.bad };
}
