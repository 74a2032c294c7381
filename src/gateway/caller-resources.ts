/** What of its machine a gateway gives to callers. */
import { getHeapStatistics } from 'node:v8';
import type { GatewaySettings } from './gateway-settings.js';

const BYTES_PER_MIB = 1_024 * 1_024;
/**
 * Share of the memory that the requests of callers may take; the rest is for the process itself, and
 * for what was freed and is not collected yet.
 */
const CALLER_MEMORY_SHARE = 0.12;

/** Descriptors that are kept for files. */
const FILE_DESCRIPTORS = 200;
/** Share of the other descriptors that callers may take; the rest is for backends, peers and the store. */
const CALLER_CONNECTION_SHARE = 0.75;

/** Returns the number of connections that callers may have open at the same time. */
export function maxCallerConnections({
  maxFds,
  maxCallerConnections: configured,
}: Pick<GatewaySettings['limits'], 'maxFds' | 'maxCallerConnections'>): number {
  if (configured > 0) {
    return configured;
  }
  const forSockets = Math.max(0, maxFds - FILE_DESCRIPTORS);
  return maxFds === 0 ? Infinity : Math.max(1, Math.floor(forSockets * CALLER_CONNECTION_SHARE));
}

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
