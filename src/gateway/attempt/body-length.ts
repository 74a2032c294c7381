/** The length of a request's body among its headers. */

/** The body is sent whole, so its length is known whatever the caller's framing was. */
export function withLength(headers: readonly string[], method: string, body: Buffer): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== 'content-length') {
      kept.push(headers[index]!, headers[index + 1]!);
    }
  }
  const isBodyless = body.length === 0 && (method === 'GET' || method === 'HEAD');
  return isBodyless ? kept : [...kept, 'Content-Length', `${body.length}`];
}
