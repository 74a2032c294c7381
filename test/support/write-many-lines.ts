/** Overfills the pipe at standard output; reports dropped lines and delays on standard error. */
import { BoundedOutput } from '../../src/telemetry/bounded-output.js';

const LINES = 20_000;
const LINE = `${'x'.repeat(99)}\n`;
const RUN_MS = 300;

let lost = 0;
let longestPauseMs = 0;
let lastAtMs = performance.now();
const output = new BoundedOutput(() => (lost += 1), { descriptor: 1, maxPendingBytes: 200_000 });
const timer = setInterval(() => {
  const nowMs = performance.now();
  longestPauseMs = Math.max(longestPauseMs, nowMs - lastAtMs);
  lastAtMs = nowMs;
  for (let index = 0; index < LINES / 20; index += 1) {
    output.write(LINE);
  }
}, 10);
setTimeout(() => {
  clearInterval(timer);
  process.stderr.write(JSON.stringify({ lost, longestPauseMs }), () => process.exit(0));
}, RUN_MS);
