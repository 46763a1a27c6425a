/**
 * Format versions of the block encodings.
 */

/** First byte of every part and delta; readers reject unknown values. */
const BLOCK_FORMAT = { part: 1, delta: 129 } as const;

export default BLOCK_FORMAT;
