/**
 * The result type of operations with expected failures.
 *
 * `ts-results` can be imported from an ES module only by its default export and cannot be bundled;
 * its fork `ts-results-es` has the same interface.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result as ResultOf } from 'ts-results-es';

/** Either `Ok<Value>` or `Err<Failure>`. */
export type Result<Value, Failure> = ResultOf<Value, Failure>;

/** Returns a successful result. */
export function ok<Value>(value: Value): Ok<Value> {
  return Ok(value);
}

/** Returns a failed result. */
export function err<Failure>(failure: Failure): Err<Failure> {
  return Err(failure);
}
