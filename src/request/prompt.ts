/** Prompt properties used for scheduling: text, estimated length and prefix hash. */
import { hashText } from '../membership/rendezvous.js';

const CHARACTERS_PER_TOKEN = 4;
/** Prompts that are equal in this many leading characters share a cached prefix. */
const PREFIX_CHARACTERS = 512;

/** One message of a chat completion request. */
export interface ChatMessage {
  readonly content: string | ReadonlyArray<{ readonly text: string }>;
}

/** Returns the prompt text: the contents of all messages, joined by newlines. */
export function joinMessages(messages: readonly ChatMessage[]): string {
  return messages
    .map(({ content }) =>
      typeof content === 'string' ? content : content.map((part) => part.text).join(''),
    )
    .join('\n');
}

/** Estimates the length of a prompt in tokens. */
export function estimateTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
}

/** Hashes a prompt's prefix; returns an empty string if the prompt is too short to cache. */
export function hashPromptPrefix(prompt: string): string {
  return prompt.length < PREFIX_CHARACTERS
    ? ''
    : hashText(prompt.slice(0, PREFIX_CHARACTERS)).toString(36);
}
