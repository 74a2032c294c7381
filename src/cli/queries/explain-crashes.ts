/** Formats the backend crashes because of which a request was refused. */

/** The fields of a log line that are needed here. */
export interface CrashLogLine {
  readonly time: string;
  readonly process?: string;
  readonly event?: string;
  readonly [field: string]: unknown;
}

const CRASH_EVENT = 'backend-crashed';
const REFUSED_FOR_CRASHES = 'crashes-back-ends';

/**
 * Returns one line for each backend crash, at any gateway, by an earlier run of a request with the
 * same fingerprint; empty if the request was refused for another reason.
 */
export function explainCrashes(end: CrashLogLine, lines: readonly CrashLogLine[]): string[] {
  if (end['reason'] !== REFUSED_FOR_CRASHES) {
    return [];
  }
  return lines
    .filter(({ event, fingerprint }) => event === CRASH_EVENT && fingerprint === end['fingerprint'])
    .filter(({ time }) => Date.parse(time) <= Date.parse(end.time))
    .map(
      ({ time, process, backend, request, crashes, evidence, afterMs }) =>
        `  ${time} ${process}: crash ${crashes}, request ${request} crashed ${backend} after ${afterMs} ms (${evidence})`,
    );
}
