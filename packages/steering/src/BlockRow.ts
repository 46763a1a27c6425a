/**
 * One client block as numbers.
 */
import type CidrBlock from './CidrBlock.js';

/** `site` is a position in the table's site names. */
interface BlockRow extends CidrBlock {
  readonly site: number;
}

export default BlockRow;
