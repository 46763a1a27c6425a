/**
 * Result of evaluating one step of a shift.
 */

/**
 * `NearLimit` holds the shift. `Unknown` makes it wait, since missing data does not show that the
 * step was harmless.
 */
type StepEvaluation =
  | { readonly _tag: 'Clear'; readonly detail: string }
  | { readonly _tag: 'NearLimit'; readonly detail: string }
  | { readonly _tag: 'Unknown'; readonly detail: string };

export default StepEvaluation;
