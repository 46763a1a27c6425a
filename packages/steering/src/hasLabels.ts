/**
 * Matching of labels.
 */
import type Labels from '@burdockcove/types/Labels';

/** True where `labels` includes every label of `wanted` with the same value. */
export default function hasLabels(labels: Labels, wanted: Labels): boolean {
  return Object.entries(wanted).every(([name, value]) => labels[name] === value);
}
