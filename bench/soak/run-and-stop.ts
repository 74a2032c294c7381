/** Ends the processes of a scenario however it ends. */

/** A scenario with processes and servers of its own. */
export interface Scenario<Report> {
  run(): Promise<Report>;
  /** Ends all processes and servers; called once. */
  stop(): void;
}

/** Runs a scenario and stops it afterwards, or when this process exits, and returns its report. */
export async function runAndStop<Report>(scenario: Scenario<Report>): Promise<Report> {
  const stopAtExit = () => scenario.stop();
  process.once('exit', stopAtExit);
  try {
    return await scenario.run();
  } finally {
    process.off('exit', stopAtExit);
    scenario.stop();
  }
}
