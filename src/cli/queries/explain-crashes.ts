/** Query: the crashes for which a request was refused, in words. */

/** A line of a log, as far as crashes are concerned. */
export interface CrashLine {
  readonly time: string;
  readonly process?: string;
  readonly event?: string;
  readonly [field: string]: unknown;
}

const CRASH_EVENT = 'backend-crashed';
const REFUSED_FOR_CRASHES = 'crashes-back-ends';

/** Words on the earlier runs of the same request, at whatever gateway, a line each; none for another refusal. */
export function explainCrashes(end: CrashLine, lines: readonly CrashLine[]): string[] {
  if (end['reason'] !== REFUSED_FOR_CRASHES) {
    return [];
  }
  return lines
    .filter(({ event, fingerprint }) => event === CRASH_EVENT && fingerprint === end['fingerprint'])
    .filter(({ time }) => Date.parse(time) <= Date.parse(end.time))
    .map(
      ({ time, process, backend, request, crashes, evidence, afterMs }) =>
        `  ${time} ${process}: crash ${crashes}, request ${request} ended ${backend} after ${afterMs} ms (${evidence})`,
    );
}
