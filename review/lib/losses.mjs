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

  constructor(record, faultyWorker) {
    Object.assign(this, { record, faultyWorker });
  }

  /** Records that a request began to run. */
  noteRun({ id, worker }) {
    this.record.add('run', { id, worker });
    this.workersById.set(id, [...(this.workersById.get(id) ?? []), worker]);
  }

  /** Records what a client got. */
  noteAnswer(answer) {
    const { id, gateway, status, isWhole, isKept, error } = answer;
    this.record.add('answered', { id, gateway, status, isWhole, isKept, error });
    this.answers.push(answer);
  }

  /** Number of lost requests by machine. */
  byMachine() {
    const counts = new Map();
    for (const { id, gateway, status, isKept, error } of this.answers) {
      const workers = this.workersById.get(id) ?? [];
      const wasPassedOn = workers.length > 0 && !workers.includes(this.faultyWorker);
      const wasClosed = status === 0 && error !== undefined;
      if (isKept && wasPassedOn && wasClosed) {
        this.record.add('lost', { id, gateway, workers, error });
        counts.set(gateway, (counts.get(gateway) ?? 0) + 1);
      }
    }
    return counts;
  }

  /** Whether the rule is broken, and the figures. */
  judge(fleet) {
    const counts = this.byMachine();
    const worst = Math.max(0, ...counts.values());
    const ends = fleet.ownEnds;
    ends.forEach(({ name, code, signal }) =>
      this.record.add('ended by itself', { name, code, signal }),
    );
    const lost = [...counts.values()].reduce((sum, count) => sum + count, 0);
    const summary =
      `${this.answers.length} requests, ${lost} lost by machines that served sound workers ` +
      `(most at one machine: ${worst}, allowed: ${ALLOWED}), processes ended by themselves ${ends.length} times`;
    return { isBroken: worst > ALLOWED, summary };
  }
}
