/**
 * Accounts for the memory that clients make a server hold, and frees what the largest holder has when
 * it is more than allowed: ordinary clients hold little.
 */

/** Bytes that a request takes beside its head and body, roughly. */
const REQUEST_BYTES = 8 * 1_024;
/** Bytes that a parsed header line takes beside its text, roughly. */
const HEADER_LINE_BYTES = 150;

/** Returns roughly the memory that the head of a request takes once it is parsed, in bytes. */
export function requestHeadMemory(rawHeaders: readonly string[]): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return REQUEST_BYTES + textBytes + (rawHeaders.length / 2) * HEADER_LINE_BYTES;
}

/** The memory that all clients of a server hold together. */
export class ClientMemory {
  private held = 0;
  private readonly holders = new Set<MemoryHolder>();

  /** @param limitBytes - the most that clients may hold together */
  constructor(private readonly limitBytes: number) {}

  /** Bytes held by all clients. */
  get heldBytes(): number {
    return this.held;
  }

  /**
   * Adds a connection.
   *
   * @param onEvicted - frees all that the connection holds; called at most once
   */
  addHolder(onEvicted: () => void): MemoryHolder {
    const holder = new MemoryHolder(onEvicted, (bytes) => this.change(bytes));
    this.holders.add(holder);
    return holder;
  }

  /** Removes a connection, whatever it still holds. */
  remove(holder: MemoryHolder): void {
    if (this.holders.delete(holder)) {
      this.held -= holder.stopCounting();
    }
  }

  private change(bytes: number): void {
    this.held += bytes;
    while (this.held > this.limitBytes && this.holders.size > 0) {
      const largest = [...this.holders].reduce((left, right) =>
        left.heldBytes >= right.heldBytes ? left : right,
      );
      this.remove(largest);
      largest.onEvicted();
    }
  }
}

/** The memory that one connection holds. */
export class MemoryHolder {
  private held = 0;
  private isCounted = true;

  constructor(
    /** Frees what the connection holds. */
    readonly onEvicted: () => void,
    private readonly onChange: (bytes: number) => void,
  ) {}

  /** Bytes held by the connection. */
  get heldBytes(): number {
    return this.held;
  }

  /** Adds bytes; a negative number gives them back. */
  add(bytes: number): void {
    if (this.isCounted) {
      this.held += bytes;
      this.onChange(bytes);
    }
  }

  /** Returns the bytes that are held; they and later ones are not counted any more. */
  stopCounting(): number {
    this.isCounted = false;
    return this.held;
  }
}

/** The memory that one request holds, as a part of what its connection holds. */
export class RequestMemory {
  private held = 0;
  private responseBytes = 0;

  constructor(private readonly holder: MemoryHolder) {}

  /** Adds bytes of its head or body. */
  add(bytes: number): void {
    this.held += bytes;
    this.holder.add(bytes);
  }

  /** Sets the bytes of its response that the operating system has not taken. */
  setResponse(bytes: number): void {
    const grown = bytes - this.responseBytes;
    this.responseBytes = bytes;
    this.add(grown);
  }

  /** Gives everything back. */
  release(): void {
    this.responseBytes = 0;
    this.add(-this.held);
  }
}
