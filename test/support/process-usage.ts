/** Memory and descriptors that a process uses, as Linux shows them. */
import { readdirSync, readFileSync } from 'node:fs';

const KIB_PER_MIB = 1_024;

/** Largest resident memory of a process since its start, in MiB; undefined once it has ended. */
export function peakMemoryMib(pid: number): number | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const match = /^VmHWM:\s*(\d+) kB$/m.exec(status);
    return match === null ? undefined : Number(match[1]) / KIB_PER_MIB;
  } catch {
    return undefined;
  }
}

/** Number of open descriptors of a process; undefined once it has ended. */
export function openDescriptors(pid: number): number | undefined {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return undefined;
  }
}
