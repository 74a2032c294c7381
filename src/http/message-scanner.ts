/** Finds blank lines in the bytes of a connection: a head, and a body in chunks, end with one. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Scans bytes that arrive in pieces. */
export class MessageScanner {
  private isLineBlank = true;
  /** Whether a line that is not blank was found since the last reset. */
  private hasContent = false;
  private scannedBytes = 0;
  /** Bytes up to the end of the first line with content; undefined before that. */
  private firstLineEnd: number | undefined;

  /** Bytes that were scanned since the last reset. */
  get bytes(): number {
    return this.scannedBytes;
  }

  /** Bytes after the first line: those of header lines, if a head is scanned. */
  get bytesAfterFirstLine(): number {
    return this.firstLineEnd === undefined ? 0 : this.scannedBytes - this.firstLineEnd;
  }

  /** Starts at the first line of a message; blank lines before it end nothing. */
  reset(): void {
    this.isLineBlank = true;
    this.hasContent = false;
    this.scannedBytes = 0;
    this.firstLineEnd = undefined;
  }

  /**
   * Scans `bytes`; returns the index after the first blank line that follows a line with content, or
   * undefined if there is none.
   */
  findEnd(bytes: Uint8Array): number | undefined {
    for (let index = 0; index < bytes.length; index += 1) {
      const byte = bytes[index];
      this.scannedBytes += 1;
      if (byte === LINE_FEED) {
        if (this.isLineBlank && this.hasContent) {
          return index + 1;
        }
        if (this.hasContent) {
          this.firstLineEnd ??= this.scannedBytes;
        }
        this.isLineBlank = true;
      } else if (byte !== CARRIAGE_RETURN) {
        this.isLineBlank = false;
        this.hasContent = true;
      }
    }
    return undefined;
  }
}
