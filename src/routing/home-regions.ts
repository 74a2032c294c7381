/** Checks the regions that a configuration names as homes. */
import { WeirvaleError } from '../request/errors.js';
import type { RoutingConfiguration } from './configuration.js';
import type { Places } from './places.js';

/** A list of regions is none, or names a region that the settings do not hold. */
export class InvalidHomesError extends WeirvaleError {
  readonly code = 'invalid-homes';

  constructor(
    /** Where in the configuration the list stands. */
    readonly key: string,
    /** What stands there, as JSON. */
    readonly found: string,
    /** What may stand there. */
    readonly allowed: string,
  ) {
    super(`${key} is ${found}; allowed is ${allowed}`);
  }
}

const LIST_OF_REGIONS = 'a list of names of regions, or none at all';
/** Longest value that an error quotes, in characters: it goes into a log line. */
const MAX_QUOTED = 200;

/**
 * Reads a list of regions; each is named once in what is returned.
 *
 * A list without a region stands for any, as no list does: platforms leave both where there are no homes.
 *
 * @throws {InvalidHomesError} if it is no list of names
 */
export function readHomeRegions(key: string, value: unknown): readonly string[] | undefined {
  if (value === undefined) {
    return undefined;
  }
  const isList = Array.isArray(value) && value.every(isName);
  if (!isList) {
    throw new InvalidHomesError(key, quote(value), LIST_OF_REGIONS);
  }
  return value.length === 0 ? undefined : [...new Set(value)];
}

/** The first home of a configuration that names a region without any zone; undefined if there is none. */
export function findUnknownHome(
  { routes, tenants }: RoutingConfiguration,
  places: Places,
): InvalidHomesError | undefined {
  const known = new Set(places.zones.map((zone) => places.regionOf(zone)));
  const lists = [
    ...routes.map((route) => [`routes.${route.name}`, route.allowedRegions] as const),
    ...tenants.map((tenant) => [`tenants.${tenant.name}`, tenant.allowedRegions] as const),
  ];
  for (const [owner, regions] of lists) {
    const unknown = regions?.find((region) => !known.has(region));
    if (unknown !== undefined) {
      const allowed =
        known.size === 0 ? 'nothing: the settings name no places' : [...known].join(', ');
      return new InvalidHomesError(`${owner}.allowedRegions`, quote(unknown), allowed);
    }
  }
  return undefined;
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && value !== '';
}

function quote(value: unknown): string {
  return (JSON.stringify(value) ?? String(value)).slice(0, MAX_QUOTED);
}
