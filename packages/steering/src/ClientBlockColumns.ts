/**
 * Client blocks in columnar form.
 */

/**
 * Index `i` of each column belongs to the same block; blocks are sorted by `firsts` and do not
 * overlap.
 */
interface ClientBlockColumns {
  /** Lowest address of each block. */
  readonly firsts: Uint32Array;
  readonly prefixLengths: Uint8Array;
  /** Indexes into `siteNames`. */
  readonly sites: Uint16Array;
  /** Names of regions, or of finer-grained sites. */
  readonly siteNames: readonly string[];
}

export default ClientBlockColumns;
