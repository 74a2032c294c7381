/** Writes log lines without ever waiting: a reader that stops costs lines, not requests. */
import { fstatSync, write } from 'node:fs';
import { Socket } from 'node:net';

/** Bounds of the output. */
export interface BoundedOutputOptions {
  /** File descriptor. Default 1, standard output. */
  readonly descriptor: number;
  /** Most bytes that wait to be written. Default 1 MiB. */
  readonly maxPendingBytes: number;
}

/** Defaults of the output. */
export const DEFAULT_BOUNDED_OUTPUT_OPTIONS: BoundedOutputOptions = {
  descriptor: 1,
  maxPendingBytes: 1024 * 1024,
};

const GATHER_MS = 50;

/** Writes bytes and calls back once they are written or lost. */
type Sink = (bytes: Buffer, done: () => void) => void;

/** Whole lines to a file descriptor, one write under way at a time. */
export class BoundedOutput {
  private pending: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private isGathering = false;
  private readonly sink: Sink;

  constructor(
    private readonly onLost: () => void,
    private readonly options = DEFAULT_BOUNDED_OUTPUT_OPTIONS,
  ) {
    this.sink = openSink(options.descriptor);
  }

  /** Takes one line, or drops it when too much waits. */
  write(line: string): void {
    if (this.pendingBytes + line.length > this.options.maxPendingBytes) {
      this.onLost();
      return;
    }
    this.pending.push(line);
    this.pendingBytes += line.length;
    this.gather();
  }

  /** Begins to write what waits. */
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

  /** Several lines go out in one write. */
  private gather(): void {
    if (this.isGathering || this.isWriting) {
      return;
    }
    this.isGathering = true;
    setTimeout(() => {
      this.isGathering = false;
      this.flush();
    }, GATHER_MS).unref();
  }
}

/**
 * A pipe is written through the event loop: a write that waits for its reader in
 * another thread would keep the process from ending. Files do not wait.
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
    const left = error === null ? bytes.subarray(written) : bytes.subarray(bytes.length);
    if (left.length > 0) {
      writeAll(descriptor, left, done);
    } else {
      done();
    }
  });
}
