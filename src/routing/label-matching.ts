/**
 * Decides whether labels satisfy a set of conditions.
 *
 * A region is a label like any other: policy selectors and the allowed regions of requests are both
 * evaluated here. A label that is missing or unknown satisfies no condition.
 */

/** Values of a label that a condition accepts. */
export type AcceptedValues = ReadonlySet<string> | readonly string[];

/** Accepted values by label name. */
export type LabelConditions = Readonly<Record<string, AcceptedValues>>;

/** Whether a label's value is accepted; undefined, for a missing label, never is. */
export function isAccepted(value: string | undefined, accepted: AcceptedValues): boolean {
  if (value === undefined) {
    return false;
  }
  return 'has' in accepted ? accepted.has(value) : accepted.includes(value);
}

/** Whether every condition accepts the value that `labelOf` returns for its label. */
export function matchesLabels(
  conditions: LabelConditions,
  labelOf: (name: string) => string | undefined,
): boolean {
  for (const name in conditions) {
    if (!isAccepted(labelOf(name), conditions[name]!)) {
      return false;
    }
  }
  return true;
}
