/**
 * Label matching.
 */
import type Labels from '@burdockcove/types/Labels';

/** Whether `labels` contains every label of `wanted` with the same value. */
export default function hasLabels(labels: Labels, wanted: Labels): boolean {
  return Object.entries(wanted).every(([name, value]) => labels[name] === value);
}
