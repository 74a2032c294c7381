/** What of its machine a gateway gives to callers. */
import { getHeapStatistics } from 'node:v8';
import type { GatewaySettings } from './gateway-settings.js';

const BYTES_PER_MIB = 1_024 * 1_024;
/**
 * Share of the memory that the requests of callers may take; the rest is for the process itself, and
 * for what was freed and is not collected yet.
 */
const CALLER_MEMORY_SHARE = 0.12;

/** Returns the memory that the requests of all callers may take together, in bytes. */
export function callerMemoryBytes({
  memoryMb,
  callerMemoryMb,
}: Pick<GatewaySettings['limits'], 'memoryMb' | 'callerMemoryMb'>): number {
  if (callerMemoryMb > 0) {
    return callerMemoryMb * BYTES_PER_MIB;
  }
  const memoryBytes = memoryMb > 0 ? memoryMb * BYTES_PER_MIB : getHeapStatistics().heap_size_limit;
  return memoryBytes * CALLER_MEMORY_SHARE;
}
