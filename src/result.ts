/**
 * The result type of every operation that can fail in a foreseen way.
 *
 * `ts-results` loads only through its default export from an ES module, so this
 * module is the one place that imports it.
 */
import tsResults from 'ts-results';
import type { Result as ResultOf, Ok as OkOf, Err as ErrOf } from 'ts-results';

/** Either `Ok<Value>` or `Err<Failure>`. */
export type Result<Value, Failure> = ResultOf<Value, Failure>;

/** Wraps the value of an operation that succeeded. */
export function ok<Value>(value: Value): OkOf<Value> {
  return tsResults.Ok(value);
}

/** Wraps the failure of an operation that did not succeed. */
export function err<Failure>(failure: Failure): ErrOf<Failure> {
  return tsResults.Err(failure);
}
