/** Blocks the event loop of the test process for `durationMs`, as a paused process is. */
export function blockLoop(durationMs: number): void {
  const endAtMs = performance.now() + durationMs;
  while (performance.now() < endAtMs) {
    // Input that arrives meanwhile is left unread.
  }
}
