import { setTimeout as sleep } from 'node:timers/promises';

const TURN_MS = 1;

/**
 * Polls until `isDone` returns true, for at most `maxTurns` turns of the event loop; returns
 * whether it did. Unlike a wait in milliseconds, it is not shortened by a pause of the process.
 */
export async function isDoneWithinTurns(isDone: () => boolean, maxTurns: number): Promise<boolean> {
  for (let turn = 0; turn < maxTurns && !isDone(); turn += 1) {
    await sleep(TURN_MS);
  }
  return isDone();
}

/** Waits for `count` turns of the event loop. */
export async function turns(count: number): Promise<void> {
  await isDoneWithinTurns(() => false, count);
}
