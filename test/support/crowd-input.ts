/** Bytes that crowds of clients send. */

const BATCH_BYTES = 32 * 1_024;

/** Repeats `text` so often that it fills a batch. */
export function batch(text: string): Buffer {
  return Buffer.from(text.repeat(Math.max(1, Math.floor(BATCH_BYTES / text.length))));
}

/** A batch of one byte. */
export function batchOf(byte: string): Buffer {
  return Buffer.alloc(BATCH_BYTES, byte);
}

/** A request with a body of `bodyBytes`; `headers` are whole lines. */
export function withBody(path: string, headers: string, bodyBytes: number): Buffer {
  const head = `POST ${path} HTTP/1.1\r\n${headers}Content-Length: ${bodyBytes}\r\n\r\n`;
  return Buffer.concat([Buffer.from(head), Buffer.alloc(bodyBytes, 'x')]);
}

/** The head of a request with a chunked body. */
export function chunkedHead(path: string, headers: string): Buffer {
  return Buffer.from(`POST ${path} HTTP/1.1\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`);
}

/** A request of `start` and as many lines as a head of `headBytes` can hold. */
export function manyLines(
  start: string,
  headBytes: number,
  line: (index: number) => string,
): Buffer {
  const lines: string[] = [];
  let bytes = start.length;
  for (let index = 0; bytes + line(index).length + 2 < headBytes; index += 1) {
    lines.push(line(index));
    bytes += line(index).length;
  }
  return Buffer.from(`${start}${lines.join('')}\r\n`);
}
