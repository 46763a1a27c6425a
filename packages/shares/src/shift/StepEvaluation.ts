/**
 * The judgement of one step of a shift.
 */

/** `NearLimit` holds the shift; `Unknown` keeps it waiting, since no data is not good news. */
type StepEvaluation =
  | { readonly _tag: 'Clear'; readonly detail: string }
  | { readonly _tag: 'NearLimit'; readonly detail: string }
  | { readonly _tag: 'Unknown'; readonly detail: string };

export default StepEvaluation;
