/** Number and length of the header lines of a request. */

/** Bytes of the shortest header line: one letter, a colon and the end of the line. */
const MIN_LINE_BYTES = 3;
/** Bytes around a name and its value that every header line has: a colon and the end of the line. */
const LINE_OVERHEAD_BYTES = 2;

/** Maximum number of header lines that a head of `maxHeaderBytes` can hold. */
export function maxHeaderLines(maxHeaderBytes: number): number {
  return Math.ceil(maxHeaderBytes / MIN_LINE_BYTES);
}

/**
 * Returns the least number of bytes that header lines take on the wire; white space around values is
 * not received.
 *
 * @param rawHeaders - alternating names and values
 */
export function headerLineBytes(rawHeaders: readonly string[]): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return textBytes + (rawHeaders.length / 2) * LINE_OVERHEAD_BYTES;
}
