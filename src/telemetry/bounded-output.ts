/** Writes log lines without ever waiting: a reader that stops costs lines, not requests. */
import { write } from 'node:fs';

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

const RETRY_MS = 20;
const GATHER_MS = 50;

/** Whole lines to a file descriptor, one write under way at a time. */
export class BoundedOutput {
  private pending: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private isGathering = false;

  constructor(
    private readonly onLost: () => void,
    private readonly options = DEFAULT_BOUNDED_OUTPUT_OPTIONS,
  ) {}

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

  /** Begins to write what waits. */
  flush(): void {
    if (this.isWriting || this.pending.length === 0) {
      return;
    }
    const bytes = Buffer.from(this.pending.join(''));
    this.pending = [];
    this.isWriting = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    write(this.options.descriptor, bytes, 0, bytes.length, null, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.writeAll(bytes), RETRY_MS).unref();
        return;
      }
      const left = error === null ? bytes.subarray(written) : bytes.subarray(bytes.length);
      this.pendingBytes -= bytes.length - left.length;
      if (left.length > 0) {
        this.writeAll(left);
        return;
      }
      this.isWriting = false;
      this.flush();
    });
  }
}
