/**
 * A change of client blocks.
 */
import type BlockRow from '../BlockRow.js';

/** Applies only to the table whose revision is `fromRevision`; `removed` and `added` are sorted by address. */
interface BlockDelta {
  readonly fromRevision: number;
  readonly toRevision: number;
  /** Lowest addresses of the blocks taken away. */
  readonly removed: readonly number[];
  /** New blocks, and those that changed their site or length, which are also in `removed`. */
  readonly added: readonly BlockRow[];
  /** Names of sites that come after those the table has; `added` may use their positions. */
  readonly addedSites: readonly string[];
}

export default BlockDelta;
