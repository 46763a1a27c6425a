/**
 * A target with what its place adds.
 */
import type Labels from '@burdockcove/types/Labels';
import type Target from '@burdockcove/types/Target';

/** `labels` are the target's own, merged over its failure domain's and region's, and the built-in ones. */
interface LabelledTarget {
  readonly target: Target;
  readonly region: string;
  readonly labels: Labels;
  /** True where the target, its failure domain or its region carries `leaving: "true"`. */
  readonly isLabelledLeaving: boolean;
}

export default LabelledTarget;
