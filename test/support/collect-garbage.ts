import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Collects all objects that cannot be reached. */
export async function collectGarbage(): Promise<void> {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  // References created in the current turn of the event loop are held until it ends.
  await new Promise((resolve) => setImmediate(resolve));
  collect();
}
