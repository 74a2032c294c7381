/** Parses the headers that describe a request's prompt. */

/** Number of prompt tokens and maximum number of generated tokens. */
export interface TokenCounts {
  readonly prompt: number;
  readonly output: number;
}

/**
 * Maximum number of prompt parts that are read, so that the work per request is bounded; real
 * prompts have a handful.
 */
const MAX_PARTS = 64;
const PART = /^([0-9a-f]{1,64}):\d{1,9}$/i;

/** Parses `PROMPT,OUTPUT`; returns undefined if the value is missing or malformed. */
export function parseTokens(text: string | undefined): TokenCounts | undefined {
  const match = /^(\d+),(\d+)$/.exec(text ?? '');
  return match === null ? undefined : { prompt: Number(match[1]), output: Number(match[2]) };
}

/**
 * Parses the parts of a prompt, `ID:TOKENS` separated by commas, with hexadecimal ids. Returns the
 * ids of the parts that other requests may share: all but the last, which belongs to the request or
 * its session. Skips malformed and repeated parts.
 */
export function parsePromptParts(text: string | undefined): readonly string[] {
  if (text === undefined) {
    return [];
  }
  const sharedParts = text.split(',', MAX_PARTS + 1).slice(0, -1);
  const ids = sharedParts.flatMap((part) => PART.exec(part.trim())?.[1]?.toLowerCase() ?? []);
  return [...new Set(ids)];
}
