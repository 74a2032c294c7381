/** Validates values from outside against schemas. */
import type * as z from 'zod/mini';
import { WeirvaleError } from './request/errors.js';
import { err, ok } from './result.js';
import type { Result } from './result.js';

/** Paths named at most in a message, since it is written to a log line. */
const MAX_PATHS = 8;

/** A value that does not match its schema; the message names the fields that are wrong. */
export class SchemaMismatchError extends WeirvaleError {
  readonly code = 'schema-mismatch';
}

/** Returns the value with the fields of the schema. */
export function validate<Schema extends z.ZodMiniType>(
  schema: Schema,
  value: unknown,
): Result<z.output<Schema>, SchemaMismatchError> {
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(new SchemaMismatchError(describe(parsed.error)));
}

/** Like `validate`, for JSON text. */
export function validateJson<Schema extends z.ZodMiniType>(
  schema: Schema,
  text: string,
): Result<z.output<Schema>, SchemaMismatchError> {
  try {
    return validate(schema, JSON.parse(text));
  } catch {
    return err(new SchemaMismatchError('not valid JSON'));
  }
}

function describe({ issues }: z.core.$ZodError): string {
  const paths = [...new Set(issues.map(({ path }) => path.join('.') || 'the value itself'))];
  const rest = paths.length - MAX_PATHS;
  const suffix = rest > 0 ? ` and ${rest} more` : '';
  return `not as expected: ${paths.slice(0, MAX_PATHS).join(', ')}${suffix}`;
}
