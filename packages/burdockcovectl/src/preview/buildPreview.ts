/**
 * The account of what a change would do.
 */
import type Configuration from '@burdockcove/types/Configuration';
import formatChange from '../changes/formatChange.js';
import listChanges from '../changes/listChanges.js';
import type Demand from '../limits/Demand.js';
import listBreaches from '../limits/listBreaches.js';
import listImmediateMoves from './listImmediateMoves.js';
import listShiftPreviews from './listShiftPreviews.js';
import type Preview from './Preview.js';

/** `revision` is the one that the change would be made against. */
export default function buildPreview(
  revision: number,
  before: Configuration | undefined,
  after: Configuration,
  demand: readonly Demand[],
): Preview {
  return {
    revision,
    changes: listChanges(before, after).map(formatChange),
    shifts: listShiftPreviews(before, after),
    atOnce: listImmediateMoves(before, after, demand),
    breaches: listBreaches(before, after, demand),
  };
}
