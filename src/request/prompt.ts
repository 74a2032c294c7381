/** What a scheduler needs to know of a prompt: its text, length and beginning. */
import { hashText } from '../membership/rendezvous.js';

const CHARACTERS_PER_TOKEN = 4;
/** Prompts that begin alike over this many characters share a cached prefix. */
const PREFIX_CHARACTERS = 512;

/** One message of a chat. */
export interface ChatMessage {
  readonly content: string | ReadonlyArray<{ readonly text: string }>;
}

/** The text that a model is prompted with: all messages, one after the other. */
export function promptOf(messages: readonly ChatMessage[]): string {
  return messages
    .map(({ content }) =>
      typeof content === 'string' ? content : content.map((part) => part.text).join(''),
    )
    .join('\n');
}

/** Estimated length of a prompt in tokens. */
export function estimateTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}

/** Hash of the beginning of a prompt; empty for one too short to be worth caching. */
export function prefixHashOf(prompt: string): string {
  return prompt.length < PREFIX_CHARACTERS
    ? ''
    : hashText(prompt.slice(0, PREFIX_CHARACTERS)).toString(36);
}
