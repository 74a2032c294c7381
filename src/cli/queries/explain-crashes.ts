/** Formats the backend crashes because of which a request was refused. */
import { promptPartOf } from '../../gateway/crashes/prompt-part-fingerprint.js';

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
 * Returns one line for each backend crash, at any gateway, by an earlier run of the same request or
 * of one with the same prompt part, whichever was refused; empty if the request was refused for
 * another reason.
 */
export function explainCrashes(end: CrashLogLine, lines: readonly CrashLogLine[]): string[] {
  if (end['reason'] !== REFUSED_FOR_CRASHES) {
    return [];
  }
  return lines
    .filter((line) => line.event === CRASH_EVENT && hasFingerprint(line, `${end['fingerprint']}`))
    .filter(({ time }) => Date.parse(time) <= Date.parse(end.time))
    .map(
      ({ time, process, backend, request, crashes, evidence, afterMs }) =>
        `  ${time} ${process}: crash ${crashes}, request ${request} crashed ${backend} after ${afterMs} ms (${evidence})`,
    );
}

/** Whether a crashed run was of the request, or had the prompt part, that `fingerprint` names. */
function hasFingerprint(crash: CrashLogLine, fingerprint: string): boolean {
  const partId = promptPartOf(fingerprint);
  const promptParts = crash['promptParts'];
  return partId === undefined
    ? crash['fingerprint'] === fingerprint
    : Array.isArray(promptParts) && promptParts.includes(partId);
}
