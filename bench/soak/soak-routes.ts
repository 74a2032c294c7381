/**
 * Checks that gateways apply configuration changes in time. Each configuration adds a route and
 * removes the previous one; requests for both routes show which configuration is active at a
 * gateway.
 */
import { request } from 'undici';
import type { SoakFleet } from './soak-fleet.js';

/** A configuration that was written to the store. */
export interface RouteChange {
  readonly version: number;
  readonly atMs: number;
}

/** A gateway's responses to requests for the routes of a configuration and of the one before. */
export interface RouteCheck {
  readonly gateway: string;
  readonly change: RouteChange;
  readonly sentAtMs: number;
  /** Whether a newer configuration, without the added route, was written before the response. */
  readonly isSuperseded: boolean;
  readonly added: GatewayResponse;
  readonly dropped: GatewayResponse;
}

/** A response of a gateway. */
export interface GatewayResponse {
  /** HTTP status; 0 without a response. */
  readonly status: number;
  /** Refusal reason; empty if there is none. */
  readonly reason: string;
}

/** Maximum time until a change is active at a gateway without faults, in milliseconds. */
const ROUTE_CHANGE_BOUND_MS = 2_200;
const CHANGE_INTERVAL_MS = 1_700;
const CHECK_INTERVAL_MS = 250;
const NOT_FOUND = 404;
/** Refusal reason on a configured route without backends. */
const KNOWN_ROUTE_REASON = 'no-backend';

/** Returns the path prefix of the route that a version adds. */
export function routePrefix(version: number): string {
  return `/route-${version}/`;
}

/** Reports a gateway that applies a change too late; faults excuse it until `disruptedUntilMs`. */
export function findLateRoute(check: RouteCheck, disruptedUntilMs: number): string[] {
  const { gateway, change, sentAtMs, isSuperseded, added, dropped } = check;
  const isDue = sentAtMs > change.atMs + ROUTE_CHANGE_BOUND_MS && sentAtMs > disruptedUntilMs;
  const isUnknown = added.status === NOT_FOUND && !isSuperseded;
  const isStillKnown = dropped.reason === KNOWN_ROUTE_REASON;
  return isDue && (isUnknown || isStillKnown)
    ? [
        `${gateway} did not apply configuration ${change.version} after ${Math.round(sentAtMs - change.atMs)} ms`,
      ]
    : [];
}

/** Changes the routes and checks the gateways periodically; returns a function that stops both. */
export function startRouteChanges(
  fleet: SoakFleet,
  onLate: (violations: string[]) => void,
): () => void {
  const reported = new Set<string>();
  const changeTimer = setInterval(() => fleet.changeRoutes(), CHANGE_INTERVAL_MS);
  const checkTimer = setInterval(() => {
    const change = newestDueChange(fleet);
    if (change === undefined) {
      return;
    }
    fleet.gateways.forEach((gateway, index) => {
      void checkRoutes(fleet, index, change).then((check) => {
        const lateViolations = findLateRoute(check, gateway.disruptedUntilMs);
        const checkKey = `${index}/${change.version}`;
        if (lateViolations.length > 0 && !reported.has(checkKey)) {
          reported.add(checkKey);
          onLate(lateViolations);
        }
      });
    });
  }, CHECK_INTERVAL_MS);
  return () => {
    clearInterval(changeTimer);
    clearInterval(checkTimer);
  };
}

/** Returns the newest configuration that each gateway has to have applied; undefined if none. */
function newestDueChange(fleet: SoakFleet): RouteChange | undefined {
  const dueBeforeMs = performance.now() - ROUTE_CHANGE_BOUND_MS;
  return fleet.routeChanges.filter(({ atMs }) => atMs < dueBeforeMs).at(-1);
}

async function checkRoutes(
  fleet: SoakFleet,
  index: number,
  change: RouteChange,
): Promise<RouteCheck> {
  const sentAtMs = performance.now();
  const [added, dropped] = await Promise.all([
    requestRoute(fleet, index, change.version),
    requestRoute(fleet, index, change.version - 1),
  ]);
  const isSuperseded = fleet.routeChanges.at(-1) !== change;
  return { gateway: `gateway-${index}`, change, sentAtMs, isSuperseded, added, dropped };
}

async function requestRoute(
  fleet: SoakFleet,
  index: number,
  version: number,
): Promise<GatewayResponse> {
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
