/**
 * One client block in numeric form.
 */
import type CidrBlock from './CidrBlock.js';

/** `site` is an index into the table's site names. */
interface BlockRow extends CidrBlock {
  readonly site: number;
}

export default BlockRow;
