/** The answers of stand-in back ends: each follows from its request alone, so that a caller can check it. */
import { hashText } from '../membership/rendezvous.js';

const SHORTEST_SHARE = 0.3;
const HASH_RANGE = 2 ** 32;

/** Number of tokens that a stand-in engine answers to `prompt` with. */
export function answerLength(prompt: string, maxOutputTokens: number): number {
  const share = SHORTEST_SHARE + (1 - SHORTEST_SHARE) * (hashText(prompt) / HASH_RANGE);
  return Math.max(1, Math.round(maxOutputTokens * share));
}

/** The token at `index` of the answer to `prompt`. */
export function answerToken(prompt: string, index: number): string {
  return `${hashText(prompt).toString(36)}.${index} `;
}

/** The whole answer to `prompt`. */
export function answerText(prompt: string, maxOutputTokens: number): string {
  const length = answerLength(prompt, maxOutputTokens);
  return Array.from({ length }, (_, index) => answerToken(prompt, index)).join('');
}

/** What a stand-in plain service answers to a call. */
export function serviceAnswer(path: string, body: string): string {
  return JSON.stringify({ path, receipt: hashText(`${path}\n${body}`).toString(36) });
}
