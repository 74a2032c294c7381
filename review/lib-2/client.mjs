// A client as PROTOCOL.md describes it: a new connection for each request, no retries of its own.
import { request } from 'node:http';

let counter = 0;

/** Returns an id that no other request has. */
export function nextId() {
  counter += 1;
  return `${Date.now().toString(16)}-${process.pid}-${counter}`;
}

/**
 * Sends one request and resolves with what came of it: `status` 0 without an answer, `isWhole`
 * unless the answer was broken off.
 */
export function send({
  gateway,
  method = 'POST',
  path,
  host,
  key,
  deadlineMs,
  body = '',
  headers = {},
  agent = false,
}) {
  const [address, port] = gateway.split(':');
  const id = nextId();
  const sentAtMs = Date.now();
  return new Promise((resolve) => {
    const finish = (result) => {
      clearTimeout(timer);
      resolve({ id, gateway, path, sentAtMs, endedAtMs: Date.now(), ...result });
    };
    const call = request(
      {
        host: address,
        port,
        method,
        path,
        agent,
        headers: {
          Host: host,
          'X-Weirvale-Attempt-Id': id,
          'X-Weirvale-Deadline-Ms': deadlineMs,
          Authorization: `Bearer ${key}`,
          ...(body === '' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
          ...headers,
        },
      },
      (answer) => {
        const chunks = [];
        const seal = answer.headers['x-weirvale-server-seal'];
        const isLeaving = answer.headers['server-leaving'] === '1';
        const result = (isWhole) => ({
          status: answer.statusCode,
          seal,
          isLeaving,
          text: Buffer.concat(chunks).toString(),
          isWhole,
        });
        answer.on('data', (bytes) => chunks.push(bytes));
        answer.on('end', () => finish(result(answer.complete)));
        answer.on('error', () => finish(result(false)));
      },
    );
    const timer = setTimeout(() => {
      call.destroy();
      finish({ status: 0, isWhole: false, ending: 'deadline' });
    }, deadlineMs);
    call.on('error', (error) => finish({ status: 0, isWhole: false, ending: error.code }));
    call.end(body);
  });
}
