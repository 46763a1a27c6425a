/**
 * Applies a change of client blocks.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type ClientBlockColumns from '../ClientBlockColumns.js';
import type BlockDelta from './BlockDelta.js';
import ColumnsBuilder from './ColumnsBuilder.js';

/** Merges in one pass over the sorted rows without modifying `columns`. */
function mergeRows(columns: ClientBlockColumns, delta: BlockDelta): ClientBlockColumns {
  const { firsts, prefixLengths, sites } = columns;
  const { removed, added } = delta;
  const siteNames = [...columns.siteNames, ...delta.addedSites];
  const rows = firsts.length - removed.length + added.length;
  const builder = new ColumnsBuilder(Math.max(0, rows), siteNames);
  let nextRemoved = 0;
  let nextAdded = 0;
  const addBefore = (limit: number): void => {
    for (let row = added[nextAdded]; row && row.first < limit; row = added[nextAdded]) {
      builder.addRow(row.first, row.prefixLength, row.site);
      nextAdded += 1;
    }
  };
  for (let row = 0; row < firsts.length; row += 1) {
    const first = firsts[row] ?? 0;
    if (removed[nextRemoved] === first) {
      nextRemoved += 1;
    } else {
      addBefore(first);
      builder.addRow(first, prefixLengths[row] ?? 0, sites[row] ?? 0);
    }
  }
  addBefore(Infinity);
  if (nextRemoved !== removed.length) {
    throw new RangeError('block to be removed does not exist');
  }
  return builder.build();
}

/**
 * Returns the new columns, or the reason why the delta cannot be applied: another revision, an
 * unknown block, an overlap.
 */
export default function applyBlockDelta(
  columns: ClientBlockColumns,
  revision: number,
  delta: BlockDelta,
): Either<string, ClientBlockColumns> {
  if (delta.fromRevision !== revision) {
    return left(
      `delta applies to revision ${delta.fromRevision}, but the table has revision ${revision}`,
    );
  }
  try {
    return right(mergeRows(columns, delta));
  } catch (error) {
    if (error instanceof RangeError) {
      return left(error.message);
    }
    throw error;
  }
}
