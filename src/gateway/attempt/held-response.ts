/** Holds back what an attempt receives, without I/O. */

/** The received data of one attempt, in order. */
export class HeldResponse {
  private chunks: Buffer[] = [];
  private hasEnded = false;

  /** Whether nothing is held. */
  get isEmpty(): boolean {
    return this.chunks.length === 0 && !this.hasEnded;
  }

  /** Holds data back. */
  add(bytes: Buffer): void {
    this.chunks.push(bytes);
  }

  /** Holds the end of the response back. */
  addEnd(): void {
    this.hasEnded = true;
  }

  /** Drops what is held. */
  clear(): void {
    this.chunks = [];
    this.hasEnded = false;
  }

  /** Passes on what is held; stops if a callback clears it. */
  release(onData: (bytes: Buffer) => void, onEnd: () => void): void {
    for (let chunk = this.chunks.shift(); chunk !== undefined; chunk = this.chunks.shift()) {
      onData(chunk);
    }
    if (this.hasEnded) {
      this.hasEnded = false;
      onEnd();
    }
  }
}
