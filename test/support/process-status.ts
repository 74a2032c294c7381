/** Facts about running processes, as Linux shows them. */
import { readFileSync } from 'node:fs';

/** Length of a tick in which processor time is counted, in milliseconds. */
const TICK_MS = 10;
/** Fields of user and system time after the name of the program. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/**
 * Processor time within which a process must handle SIGHUP after its start, in milliseconds: enough
 * for Node to start and run its first file several times over, too little to do other work first.
 */
export const HANGUP_HANDLER_LIMIT_MS = 250;

/** Whether the process handles SIGHUP, by its mask of caught signals. */
export function handlesHangup(pid: number): boolean {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)![1]!;
  return (BigInt(`0x${mask}`) & 1n) === 1n;
}

/** Processor time that the process has used, in milliseconds. */
export function processorTimeMs(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ').at(-1)!.split(' ');
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * TICK_MS;
}
