/** Fetches the state of running processes from their operators' interfaces. */
import { request } from 'undici';
import { CommandError, printOutput } from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

const TIMEOUT_MS = 3_000;

/** Prints the status of the process at each operators' URL. */
export async function showStatus(urls: readonly string[], options: GlobalOptions): Promise<void> {
  const statuses: unknown[] = [];
  for (const url of urls) {
    statuses.push(await readStatus(url));
  }
  printOutput(options, statuses, JSON.stringify(statuses, null, 2));
}

async function readStatus(url: string): Promise<unknown> {
  try {
    const response = await request(`${url}/status`, {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    return await response.body.json();
  } catch (cause) {
    throw new CommandError(
      EXIT.failed,
      `cannot read the status of ${url}: ${(cause as Error).message}`,
    );
  }
}
