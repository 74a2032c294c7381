/** The origins of streams that this process holds, its own and those of other processes. */
import type { StreamOrigin, StreamOriginReport } from './stream-origin.js';
import type { StreamKey } from './stream-key.js';

/** An origin that this process holds; times are on its clock, in milliseconds. */
export interface HeldStreamOrigin extends StreamOrigin {
  readonly begunAtMs: number;
  readonly expiresAtMs: number;
}

/** Maximum number of origins held; the oldest is dropped for a new one beyond it. */
const MAX_ORIGINS = 20_000;
/** Upper bound of the time for which an origin is held, in milliseconds. */
export const MAX_RETENTION_MS = 300_000;

/** Origins by stream key. */
export class StreamOriginTable {
  private readonly origins = new Map<StreamKey, HeldStreamOrigin>();

  constructor(private readonly maxOrigins = MAX_ORIGINS) {}

  /** Number of origins held, including expired ones that were not dropped yet. */
  get size(): number {
    return this.origins.size;
  }

  /** Holds an origin until its caller can no longer resume the stream. */
  hold({ key, service, version, ageMs, expiresInMs }: StreamOriginReport, nowMs: number): void {
    this.origins.delete(key);
    this.origins.set(key, {
      service,
      version,
      begunAtMs: nowMs - ageMs,
      expiresAtMs: nowMs + Math.min(expiresInMs, MAX_RETENTION_MS),
    });
    if (this.origins.size > this.maxOrigins) {
      const [oldest] = this.origins.keys();
      this.origins.delete(oldest!);
    }
  }

  /** Returns the origin of a stream; undefined if it is not held. */
  find(key: StreamKey, nowMs: number): HeldStreamOrigin | undefined {
    const origin = this.origins.get(key);
    return origin === undefined || origin.expiresAtMs <= nowMs ? undefined : origin;
  }

  /** Returns the origin of a stream as sent to another process; undefined if it is not held. */
  report(key: StreamKey, nowMs: number): StreamOriginReport | undefined {
    const origin = this.find(key, nowMs);
    return (
      origin && {
        key,
        service: origin.service,
        version: origin.version,
        ageMs: nowMs - origin.begunAtMs,
        expiresInMs: origin.expiresAtMs - nowMs,
      }
    );
  }

  /** Drops expired origins; to be called periodically. */
  evictExpired(nowMs: number): void {
    for (const [key, { expiresAtMs }] of this.origins) {
      if (expiresAtMs <= nowMs) {
        this.origins.delete(key);
      }
    }
  }
}
