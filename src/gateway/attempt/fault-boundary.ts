/** Confines an exception in the processing of one request to that request. */

/** Wraps a callback so that an exception in it does not reach the caller of the callback. */
export type ConfineCallback = <Arguments extends unknown[]>(
  callback: (...args: Arguments) => void,
) => (...args: Arguments) => void;

/** Runs the steps of one request. */
export class FaultBoundary {
  /** @param onFault - called with the exception of a step, after the step */
  constructor(private readonly onFault: (cause: unknown) => void) {}

  /** Runs a step of the request. */
  run(step: () => void): void {
    try {
      step();
    } catch (cause) {
      this.onFault(cause);
    }
  }

  /** Runs each step although another one throws. */
  runAll(steps: ReadonlyArray<() => void>): void {
    steps.forEach((step) => this.run(step));
  }

  /** Wraps a callback of the request. */
  readonly confine: ConfineCallback =
    (callback) =>
    (...args) =>
      this.run(() => callback(...args));
}
