/** Formats the allowed regions of a request and the backends that were excluded for it. */
import type { RegionReport, ExcludedBackend } from '../../gateway/regions/region-report.js';

const REASONS: Readonly<Record<ExcludedBackend['reason'], string>> = {
  'outside-home': 'its region is not allowed',
  'zone-evacuated': 'its zone is evacuated',
  'version-closed': 'a rollout has closed its version to requests',
  'other-version': 'another software version began the stream that it continues',
  'not-ready': 'it was not listed as ready',
};

/** Returns the lines to print; empty if the request was not restricted to regions. */
export function explainRegions(
  line: RegionReport & { readonly route?: unknown; tenant?: unknown },
): string[] {
  const { homes: allowed, kept: excluded = [], keptMore: excludedMore = 0 } = line;
  if (allowed === undefined) {
    return [];
  }
  const sources = [
    ...(allowed.route === undefined
      ? []
      : [`route ${line.route} allows ${formatRegions(allowed.route)}`]),
    ...(allowed.tenant === undefined
      ? []
      : [`tenant ${line.tenant} allows ${formatRegions(allowed.tenant)}`]),
  ];
  const text = [`  allowed regions: ${sources.join('; ')}`, ...excluded.map(describeExcluded)];
  return excludedMore > 0 ? [...text, `  excluded ${excludedMore} more`] : text;
}

function describeExcluded({ backend, zone, region, reason, by }: ExcludedBackend): string {
  const location = `zone ${zone || 'none'}, region ${region ?? 'unknown'}`;
  const sources = by.length === 0 ? '' : ` by the ${by.join(' and the ')}`;
  return `  excluded ${backend} (${location}): ${REASONS[reason] ?? reason}${sources}`;
}

function formatRegions(regions: readonly string[]): string {
  return regions.length === 0 ? 'no region' : regions.join(', ');
}
