/**
 * Counts what the rule LOST counts: requests from kept connections that a machine passed on to a
 * sound worker, and whose connections it closed without an answer.
 */

/** Such requests of one machine above which the rule is broken. */
const ALLOWED = 3;

/** What was sent, answered and run in a case. */
export class Losses {
  answers = [];
  workersById = new Map();

  constructor(record, faultyWorkers) {
    Object.assign(this, { record, faultyWorkers });
  }

  /** Records that a request began to run. */
  noteRun({ id, worker, from }) {
    this.record.add('run', { id, worker, after: from });
    this.workersById.set(id, [...(this.workersById.get(id) ?? []), worker]);
  }

  /** Records what a client got. */
  noteAnswer(answer) {
    const { id, gateway, status, isWhole, isKept, error } = answer;
    this.record.add('answered', { id, gateway, status, isWhole, isKept, error });
    this.answers.push(answer);
  }

  /** Requests that were lost. */
  lost() {
    return this.answers.filter(({ id, status, isKept, error }) => {
      const workers = this.workersById.get(id) ?? [];
      const isSound = !workers.some((worker) => this.faultyWorkers.includes(worker));
      return isKept && status === 0 && error !== undefined && workers.length > 0 && isSound;
    });
  }

  /**
   * Whether the rule is broken, and the figures, apart for the parts before and after
   * `changedAtMs`.
   */
  judge(fleet, changedAtMs) {
    const counts = new Map();
    const lost = this.lost();
    for (const { id, gateway, error } of lost) {
      this.record.add('lost', { id, gateway, workers: this.workersById.get(id), error });
      counts.set(gateway, (counts.get(gateway) ?? 0) + 1);
    }
    for (const { name, code, signal } of fleet.ownEnds) {
      this.record.add('ended by itself', { name, code, signal });
    }
    const worst = Math.max(0, ...counts.values());
    const parts = (times) => {
      const before = times.filter((atMs) => atMs < changedAtMs).length;
      return `${before} + ${times.length - before}`;
    };
    const ends = parts(fleet.ownEnds.map(({ atMs }) => atMs));
    const losses = parts(lost.map(({ endedAtMs }) => endedAtMs));
    const summary =
      `${this.answers.length} requests; in the two parts processes ended by themselves ` +
      `${ends} times, and ${losses} requests at sound workers were lost; most at one ` +
      `machine: ${worst} (allowed: ${ALLOWED})`;
    return { isBroken: worst > ALLOWED, summary };
  }
}
