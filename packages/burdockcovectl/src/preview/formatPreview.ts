/**
 * A preview for reading.
 */
import formatPercent from '../output/formatPercent.js';
import type Preview from './Preview.js';
import type ShiftPreview from './ShiftPreview.js';

function formatShift({ selector, moved, cap, windowSeconds, steps, minSeconds }: ShiftPreview) {
  return (
    `shift ${selector}: ${formatPercent(moved)} of its traffic moves, at most ` +
    `${formatPercent(cap)} in ${windowSeconds} s: ${steps} steps, at least ${minSeconds} s`
  );
}

/** One line a change, shift, immediate move and limit. */
export default function formatPreview(preview: Preview): readonly string[] {
  return [
    ...preview.changes.map((change) => `change ${change}`),
    ...preview.shifts.map(formatShift),
    ...preview.atOnce.map((move) => `at once ${move}`),
    ...preview.breaches.map(
      ({ limit, object, detail }) => `stopped by limit ${limit} on ${object}: ${detail}`,
    ),
  ];
}
