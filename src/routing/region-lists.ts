/** Parses and checks the allowed regions in a configuration. */
import { WeirvaleError } from '../request/errors.js';
import type { RoutingConfiguration } from './configuration.js';
import type { ZoneTopology } from './zone-topology.js';

/** A region list is malformed, or contains a region that the settings do not define. */
export class InvalidRegionsError extends WeirvaleError {
  readonly code = 'invalid-homes';

  constructor(
    /** Path of the list in the configuration. */
    readonly key: string,
    /** The value found there, as JSON. */
    readonly found: string,
    /** The values allowed there. */
    readonly allowed: string,
  ) {
    super(`${key} is ${found}; allowed is ${allowed}`);
  }
}

const EXPECTED_REGION_LIST = 'a list of names of regions, or none at all';
/** Maximum length of a quoted value, in characters, since the error is written to a log line. */
const MAX_QUOTED_CHARS = 200;

/**
 * Parses a list of region names and removes duplicates.
 *
 * An empty list allows any region, like a missing one: platforms write either one for no
 * restriction.
 *
 * @throws {InvalidRegionsError} if the value is not a list of names
 */
export function parseRegionList(key: string, value: unknown): readonly string[] | undefined {
  if (value === undefined) {
    return undefined;
  }
  const isList = Array.isArray(value) && value.every(isName);
  if (!isList) {
    throw new InvalidRegionsError(key, quote(value), EXPECTED_REGION_LIST);
  }
  return value.length === 0 ? undefined : [...new Set(value)];
}

/**
 * Returns an error for the first allowed region without any zone; undefined if every region has
 * one.
 */
export function findUnknownRegion(
  { routes, tenants }: RoutingConfiguration,
  topology: ZoneTopology,
): InvalidRegionsError | undefined {
  const known = new Set(topology.zones.map((zone) => topology.regionOf(zone)));
  const lists = [
    ...routes.map((route) => [`routes.${route.name}`, route.allowedRegions] as const),
    ...tenants.map((tenant) => [`tenants.${tenant.name}`, tenant.allowedRegions] as const),
  ];
  for (const [owner, regions] of lists) {
    const unknown = regions?.find((region) => !known.has(region));
    if (unknown !== undefined) {
      const allowed =
        known.size === 0 ? 'nothing: the settings name no places' : [...known].join(', ');
      return new InvalidRegionsError(`${owner}.allowedRegions`, quote(unknown), allowed);
    }
  }
  return undefined;
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && value !== '';
}

function quote(value: unknown): string {
  return (JSON.stringify(value) ?? String(value)).slice(0, MAX_QUOTED_CHARS);
}
