/**
 * Collects buffers that are not used any more.
 *
 * The runtime counts the bytes of buffers beside its heap and does not collect because of them. Many
 * connections that send or receive fast leave hundreds of megabytes of unused buffers behind while
 * the heap has hardly grown.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Bytes moved between two checks. */
const CHECK_BYTES = 2 * 1_024 * 1_024;
/** Bytes of unused buffers from which recent ones are collected. */
const MINOR_BYTES = 6 * 1_024 * 1_024;
/** Bytes of unused buffers from which all are collected, which takes longer. */
const MAJOR_BYTES = 16 * 1_024 * 1_024;

/** Collects garbage; a minor collection covers recently created objects. */
type CollectGarbage = (options?: { readonly type: 'minor' }) => void;

/** Watches the bytes that pass through buffers. */
export class BufferCollector {
  private movedBytes = 0;
  /** Bytes outside the heap after the last full collection, beside what callers hold. */
  private baseBytes = getHeapStatistics().external_memory;
  private collect: CollectGarbage | undefined;

  /** @param heldBytes - returns the bytes of buffers that are in use */
  constructor(private readonly heldBytes: () => number) {}

  /** Notes that `bytes` have passed through buffers. */
  noteMoved(bytes: number): void {
    this.movedBytes += bytes;
    if (this.movedBytes >= CHECK_BYTES) {
      this.movedBytes = 0;
      this.check();
    }
  }

  private check(): void {
    if (this.unusedBytes() > MINOR_BYTES) {
      this.collect ??= exposeCollection();
      this.collect({ type: 'minor' });
    }
    if (this.unusedBytes() > MAJOR_BYTES) {
      this.collect?.();
      this.baseBytes += this.unusedBytes();
    }
  }

  private unusedBytes(): number {
    return getHeapStatistics().external_memory - this.heldBytes() - this.baseBytes;
  }
}

function exposeCollection(): CollectGarbage {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as CollectGarbage;
  setFlagsFromString('--no-expose-gc');
  return collect;
}
