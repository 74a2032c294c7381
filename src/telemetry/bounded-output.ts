/** Non-blocking log output: drops lines if the reader stalls, so requests are never delayed. */
import { fstatSync, write, writeSync } from 'node:fs';
import { Socket } from 'node:net';

/** Options of `BoundedOutput`. */
export interface BoundedOutputOptions {
  /** File descriptor. Default 1, standard output. */
  readonly descriptor: number;
  /**
   * Maximum number of bytes that are buffered for writing, counted as one per UTF-16 code unit.
   * Default 1 MiB.
   */
  readonly maxPendingBytes: number;
}

/** Default options of `BoundedOutput`. */
export const DEFAULT_BOUNDED_OUTPUT_OPTIONS: BoundedOutputOptions = {
  descriptor: 1,
  maxPendingBytes: 1024 * 1024,
};

const FLUSH_DELAY_MS = 50;

/** Writes bytes and calls `done` once they are written or lost. */
type Sink = (bytes: Buffer, done: () => void) => void;

/** Writes whole lines to a file descriptor, with at most one write in progress. */
export class BoundedOutput {
  private pending: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private isFlushScheduled = false;
  private readonly sink: Sink;

  constructor(
    private readonly onDropped: () => void,
    private readonly options = DEFAULT_BOUNDED_OUTPUT_OPTIONS,
  ) {
    this.sink = openSink(options.descriptor);
  }

  /** Buffers one line, or drops it if the buffer is full. */
  write(line: string): void {
    if (this.pendingBytes + line.length > this.options.maxPendingBytes) {
      this.onDropped();
      return;
    }
    this.pending.push(line);
    this.pendingBytes += line.length;
    this.scheduleFlush();
  }

  /** Starts writing the buffered lines. */
  flush(): void {
    if (this.isWriting || this.pending.length === 0) {
      return;
    }
    const text = this.pending.join('');
    this.pending = [];
    this.isWriting = true;
    this.sink(Buffer.from(text), () => {
      this.pendingBytes -= text.length;
      this.isWriting = false;
      this.flush();
    });
  }

  /**
   * Writes the buffered lines before it returns; what the reader does not take at once is lost, as
   * the process is about to end.
   */
  flushNow(): void {
    const text = this.pending.join('');
    this.pending = [];
    this.pendingBytes -= text.length;
    try {
      writeSync(this.options.descriptor, text);
    } catch {
      this.onDropped();
    }
  }

  /** Delays the flush so that several lines are written at once. */
  private scheduleFlush(): void {
    if (this.isFlushScheduled || this.isWriting) {
      return;
    }
    this.isFlushScheduled = true;
    setTimeout(() => {
      this.isFlushScheduled = false;
      this.flush();
    }, FLUSH_DELAY_MS).unref();
  }
}

/**
 * Writes to a pipe through the event loop: a write that blocks in a thread of the pool until the
 * pipe is read would keep the process from exiting. Writes to files do not block.
 */
function openSink(descriptor: number): Sink {
  if (isPipe(descriptor)) {
    const socket = new Socket({ fd: descriptor, readable: false, writable: true });
    socket.on('error', () => undefined);
    socket.unref();
    return (bytes, done) => socket.write(bytes, () => done());
  }
  return (bytes, done) => writeAll(descriptor, bytes, done);
}

function isPipe(descriptor: number): boolean {
  try {
    const status = fstatSync(descriptor);
    return status.isFIFO() || status.isSocket();
  } catch {
    return false;
  }
}

function writeAll(descriptor: number, bytes: Buffer, done: () => void): void {
  write(descriptor, bytes, 0, bytes.length, null, (error, written) => {
    const remaining = error === null ? bytes.subarray(written) : bytes.subarray(bytes.length);
    if (remaining.length > 0) {
      writeAll(descriptor, remaining, done);
    } else {
      done();
    }
  });
}
