/**
 * A route that each configuration adds while it drops the one before; each gateway is asked for both, directly, so that
 * its answers tell which configuration is in force there.
 */
import { request } from 'undici';
import type { SoakFleet } from './soak-fleet.js';

/** A configuration that was put in force. */
export interface RouteChange {
  readonly version: number;
  readonly atMs: number;
}

/** How a gateway that was asked for the routes of the two newest configurations answered. */
export interface RouteAnswer {
  readonly gateway: string;
  readonly change: RouteChange;
  readonly askedAtMs: number;
  readonly added: GatewayAnswer;
  readonly dropped: GatewayAnswer;
}

/** An answer of a gateway. */
export interface GatewayAnswer {
  /** 0 without one. */
  readonly status: number;
  /** The reason that it names; empty without one. */
  readonly reason: string;
}

/** Time in which a change is in force at a gateway that nothing touched, in milliseconds. */
const ROUTE_BOUND_MS = 2_200;
const CHANGE_PAUSE_MS = 1_700;
const ASK_PAUSE_MS = 250;
const NOT_FOUND = 404;
/** The reason of a refusal on a route that is known and that no back end serves. */
const KNOWN_ROUTE_REASON = 'no-backend';

/** Path prefix of the route of a version. */
export function routePrefix(version: number): string {
  return `/route-${version}/`;
}

/** What an answer says against a gateway; `disturbedUntilMs` is until when something excuses it. */
export function findLateRoute(answer: RouteAnswer, disturbedUntilMs: number): string[] {
  const { gateway, change, askedAtMs, added, dropped } = answer;
  const isDue = askedAtMs > change.atMs + ROUTE_BOUND_MS && askedAtMs > disturbedUntilMs;
  const isUnknown = added.status === NOT_FOUND;
  const isKept = dropped.reason === KNOWN_ROUTE_REASON;
  return isDue && (isUnknown || isKept)
    ? [
        `${gateway} did not follow configuration ${change.version} after ${Math.round(askedAtMs - change.atMs)} ms`,
      ]
    : [];
}

/** Changes the routes all the while and asks the gateways; returns how to end it. */
export function changeRoutes(fleet: SoakFleet, onLate: (violations: string[]) => void): () => void {
  const noted = new Set<string>();
  const changing = setInterval(() => fleet.changeRoutes(), CHANGE_PAUSE_MS);
  const asking = setInterval(() => {
    const change = fleet.routeChanges.at(-1)!;
    fleet.gateways.forEach((gateway, index) => {
      void askForRoutes(fleet, index, change).then((answer) => {
        const late = findLateRoute(answer, gateway.disturbedUntilMs);
        const name = `${index}/${change.version}`;
        if (late.length > 0 && !noted.has(name)) {
          noted.add(name);
          onLate(late);
        }
      });
    });
  }, ASK_PAUSE_MS);
  return () => {
    clearInterval(changing);
    clearInterval(asking);
  };
}

async function askForRoutes(
  fleet: SoakFleet,
  index: number,
  change: RouteChange,
): Promise<RouteAnswer> {
  const askedAtMs = performance.now();
  const [added, dropped] = await Promise.all([
    ask(fleet, index, change.version),
    ask(fleet, index, change.version - 1),
  ]);
  return { gateway: `gateway-${index}`, change, askedAtMs, added, dropped };
}

async function ask(fleet: SoakFleet, index: number, version: number): Promise<GatewayAnswer> {
  const { host, port } = fleet.callersAddress(index);
  const url = `http://${host}:${port}${routePrefix(version)}x`;
  try {
    const { statusCode: status, body } = await request(url, { headers: { host: 'soak.example' } });
    const { error } = (await body.json()) as { error?: string };
    return { status, reason: error ?? '' };
  } catch {
    return { status: 0, reason: '' };
  }
}
