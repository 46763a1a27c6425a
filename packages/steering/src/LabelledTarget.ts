/**
 * A target with its effective labels.
 */
import type Labels from '@burdockcove/types/Labels';
import type Target from '@burdockcove/types/Target';

/**
 * `labels` are the built-in labels and the target's own, which override those of its failure domain
 * and region.
 */
interface LabelledTarget {
  readonly target: Target;
  readonly region: string;
  readonly labels: Labels;
  /** Whether the target, its failure domain or its region has the label `leaving: "true"`. */
  readonly isLabelledLeaving: boolean;
}

export default LabelledTarget;
