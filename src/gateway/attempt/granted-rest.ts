/** Query: how long a connection may rest, as the back end's answer grants it. */

/** `timeout` of a `Keep-Alive` header, in whole seconds. */
const TIMEOUT_PATTERN = /(?:^|[\s,;])timeout\s*=\s*(\d+)/i;
const MS_PER_S = 1_000;
/** Back ends round to whole seconds, up or down: what they grant may be over so much earlier, in milliseconds. */
const ROUNDING_MS = 1_000;
/** Share of what is granted that is used at the least: a back end that grants one second seldom means none. */
const MIN_SHARE = 0.5;

/**
 * The rest that a `Keep-Alive` header grants, less what the back end may have rounded, so that it does not
 * close first.
 *
 * @returns milliseconds; Infinity where the header grants no bound
 */
export function grantedRestMs(header: string | undefined): number {
  const seconds = TIMEOUT_PATTERN.exec(header ?? '')?.[1];
  if (seconds === undefined) {
    return Infinity;
  }
  const grantedMs = Number(seconds) * MS_PER_S;
  return Math.max(grantedMs - ROUNDING_MS, grantedMs * MIN_SHARE);
}
