/** Query: what a request's line says of its homes, in words. */
import type { RegionReport, ExcludedBackend } from '../../gateway/homes/home-report.js';

const REASONS: Readonly<Record<ExcludedBackend['reason'], string>> = {
  'outside-home': 'its region is no home',
  'zone-evacuated': 'its zone is evacuated',
  'version-closed': 'a roll-out keeps requests from its version',
  'not-ready': 'it was not listed as ready',
};

/** Words on the homes of a request, a line each; none where it has no homes. */
export function explainHomes(
  line: RegionReport & { readonly route?: unknown; tenant?: unknown },
): string[] {
  const { homes, kept = [], keptMore = 0 } = line;
  if (homes === undefined) {
    return [];
  }
  const owners = [
    ...(homes.route === undefined ? [] : [`route ${line.route} names ${listOf(homes.route)}`]),
    ...(homes.tenant === undefined ? [] : [`tenant ${line.tenant} names ${listOf(homes.tenant)}`]),
  ];
  const words = [`  homes: ${owners.join('; ')}`, ...kept.map(describeKept)];
  return keptMore > 0 ? [...words, `  kept from ${keptMore} more`] : words;
}

function describeKept({ backend, zone, region, reason, by }: ExcludedBackend): string {
  const place = `zone ${zone || 'none'}, region ${region ?? 'unknown'}`;
  const whose = by.length === 0 ? '' : ` of the ${by.join(' and the ')}`;
  return `  kept from ${backend} (${place}): ${REASONS[reason] ?? reason}${whose}`;
}

function listOf(regions: readonly string[]): string {
  return regions.length === 0 ? 'no region' : regions.join(', ');
}
