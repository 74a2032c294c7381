/** Collects the bytes of a body in one buffer, so that many small pieces take no more memory than their bytes. */

const MIN_CAPACITY = 1_024;

/** The bytes of a body as received so far. */
export class BodyBuffer {
  private buffer: Buffer = Buffer.alloc(0);
  private used = 0;

  /** @param expectedLength - length of the whole body, if known */
  constructor(private readonly expectedLength = Infinity) {}

  /** Number of bytes. */
  get length(): number {
    return this.used;
  }

  /** Adds bytes; the first piece is kept without a copy. */
  append(bytes: Buffer): void {
    if (this.used === 0) {
      this.buffer = bytes;
      this.used = bytes.length;
      return;
    }
    this.reserve(this.used + bytes.length);
    bytes.copy(this.buffer, this.used);
    this.used += bytes.length;
  }

  /** Returns the bytes; they must not be changed. */
  toBuffer(): Buffer {
    return this.buffer.subarray(0, this.used);
  }

  /** Discards the bytes. */
  clear(): void {
    this.buffer = Buffer.alloc(0);
    this.used = 0;
  }

  private reserve(length: number): void {
    if (length <= this.buffer.length) {
      return;
    }
    const wanted = Math.max(MIN_CAPACITY, this.buffer.length * 2);
    const grown = Buffer.allocUnsafe(Math.max(length, Math.min(wanted, this.expectedLength)));
    this.buffer.copy(grown, 0, 0, this.used);
    this.buffer = grown;
  }
}
