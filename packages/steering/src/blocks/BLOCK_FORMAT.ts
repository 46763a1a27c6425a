/**
 * Versions of the block encodings.
 */

/** The first byte of every part and delta; a reader refuses one that it does not know. */
const BLOCK_FORMAT = { part: 1, delta: 129 } as const;

export default BLOCK_FORMAT;
