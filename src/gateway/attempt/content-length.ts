/** Sets the Content-Length header of outgoing requests. */

/**
 * Replaces the caller's Content-Length; the complete body is known, whatever framing the caller
 * used.
 */
export function withContentLength(
  headers: readonly string[],
  method: string,
  body: Buffer,
): string[] {
  const result: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== 'content-length') {
      result.push(headers[index]!, headers[index + 1]!);
    }
  }
  const hasNoBody = body.length === 0 && (method === 'GET' || method === 'HEAD');
  return hasNoBody ? result : [...result, 'Content-Length', `${body.length}`];
}
