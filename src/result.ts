/**
 * The result type of every operation that can fail in a foreseen way.
 *
 * `ts-results` loads only through its default export from an ES module and
 * cannot be bundled; its kin `ts-results-es` has the same interface.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result as ResultOf } from 'ts-results-es';

/** Either `Ok<Value>` or `Err<Failure>`. */
export type Result<Value, Failure> = ResultOf<Value, Failure>;

/** Wraps the value of an operation that succeeded. */
export function ok<Value>(value: Value): Ok<Value> {
  return Ok(value);
}

/** Wraps the failure of an operation that did not succeed. */
export function err<Failure>(failure: Failure): Err<Failure> {
  return Err(failure);
}
