/** Responses of the fake backends: pure functions of the request, so callers can verify them. */
import { hashText } from '../membership/rendezvous.js';

const MIN_LENGTH_SHARE = 0.3;
const HASH_RANGE = 2 ** 32;

/** Returns the length, in tokens, of a fake engine's response to `prompt`. */
export function responseTokenCount(prompt: string, maxOutputTokens: number): number {
  const share = MIN_LENGTH_SHARE + (1 - MIN_LENGTH_SHARE) * (hashText(prompt) / HASH_RANGE);
  return Math.max(1, Math.round(maxOutputTokens * share));
}

/** Returns the tokens from `first` (inclusive) to `end` (exclusive) of the response to `prompt`. */
export function responseTokens(prompt: string, first: number, end: number): string {
  const promptHash = hashText(prompt).toString(36);
  let text = '';
  for (let index = first; index < end; index += 1) {
    text += `${promptHash}.${index} `;
  }
  return text;
}

/** Returns a fake engine's complete response to `prompt`. */
export function responseText(prompt: string, maxOutputTokens: number): string {
  return responseTokens(prompt, 0, responseTokenCount(prompt, maxOutputTokens));
}

/** Returns a fake plain service's response body. */
export function serviceResponse(path: string, body: string): string {
  return JSON.stringify({ path, receipt: hashText(`${path}\n${body}`).toString(36) });
}
