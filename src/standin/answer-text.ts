/** The answers of stand-in back ends: each follows from its request alone, so that a caller can check it. */
import { hashText } from '../membership/rendezvous.js';

const SHORTEST_SHARE = 0.3;
const HASH_RANGE = 2 ** 32;

/** Number of tokens that a stand-in engine answers to `prompt` with. */
export function answerLength(prompt: string, maxOutputTokens: number): number {
  const share = SHORTEST_SHARE + (1 - SHORTEST_SHARE) * (hashText(prompt) / HASH_RANGE);
  return Math.max(1, Math.round(maxOutputTokens * share));
}

/** The tokens from `first` up to, but not including, `end` of the answer to `prompt`. */
export function answerTokens(prompt: string, first: number, end: number): string {
  const mark = hashText(prompt).toString(36);
  let text = '';
  for (let index = first; index < end; index += 1) {
    text += `${mark}.${index} `;
  }
  return text;
}

/** The whole answer to `prompt`. */
export function answerText(prompt: string, maxOutputTokens: number): string {
  return answerTokens(prompt, 0, answerLength(prompt, maxOutputTokens));
}

/** What a stand-in plain service answers to a call. */
export function serviceAnswer(path: string, body: string): string {
  return JSON.stringify({ path, receipt: hashText(`${path}\n${body}`).toString(36) });
}
