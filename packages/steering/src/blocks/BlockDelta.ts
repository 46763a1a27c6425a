/**
 * A change of client blocks.
 */
import type BlockRow from '../BlockRow.js';

/**
 * Applies only to the table with revision `fromRevision`; `removed` and `added` are sorted by
 * address.
 */
interface BlockDelta {
  readonly fromRevision: number;
  readonly toRevision: number;
  /** Lowest addresses of the removed blocks. */
  readonly removed: readonly number[];
  /** New blocks, and blocks whose site or length changed, which are also in `removed`. */
  readonly added: readonly BlockRow[];
  /** Site names to append to those of the table; `added` may refer to their indexes. */
  readonly addedSites: readonly string[];
}

export default BlockDelta;
