/**
 * Results of changes.
 */
import type OperatorChange from '../store/OperatorChange.js';
import formatPreview from '../preview/formatPreview.js';
import type Preview from '../preview/Preview.js';
import type CommandResult from './CommandResult.js';
import describeBetween from './describeBetween.js';

/** What an accepted change came to. */
interface AcceptedChange {
  readonly revision: number;
  readonly changeId: string;
  readonly preview: Preview;
  readonly mergedOver: readonly OperatorChange[];
  readonly foundByReadingBack: boolean;
}

/** Names the revision, what it sets in motion and what it was merged over. */
export default function buildChangeResult(accepted: AcceptedChange): CommandResult {
  const { revision, changeId, preview, mergedOver, foundByReadingBack } = accepted;
  const found = foundByReadingBack ? ' (the store lost its answer; found by reading back)' : '';
  return {
    data: { ...preview, outcome: 'done', revision, changeId, foundByReadingBack, mergedOver },
    lines: [
      `accepted as revision ${revision}${found}`,
      ...formatPreview(preview),
      ...(mergedOver.length === 0 ? [] : ['merged over changes of other objects:']),
      ...describeBetween(mergedOver),
    ],
  };
}
