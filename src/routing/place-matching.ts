/**
 * Query: whether a thing's labels are among those that a condition accepts.
 *
 * The region of a place is a label like any other: selectors of the policy and the homes of requests are
 * decided here, by one rule. A label that is missing or not known satisfies no condition.
 */

/** Values of a label that a condition accepts. */
export type AcceptedValues = ReadonlySet<string> | readonly string[];

/** Accepted values by label. */
export type LabelConditions = Readonly<Record<string, AcceptedValues>>;

/** Whether a label's value is among those accepted; undefined, for a label that is missing, never is. */
export function isAccepted(value: string | undefined, accepted: AcceptedValues): boolean {
  if (value === undefined) {
    return false;
  }
  return 'has' in accepted ? accepted.has(value) : accepted.includes(value);
}

/** Whether every condition accepts the label of its name, as `labelOf` tells it. */
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
