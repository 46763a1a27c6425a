/**
 * Client blocks as columns.
 */

/** Row `i` of each column belongs to one block; rows are sorted by `firsts` and do not overlap. */
interface ClientBlockColumns {
  /** Lowest address of each block. */
  readonly firsts: Uint32Array;
  readonly prefixLengths: Uint8Array;
  /** Positions in `siteNames`. */
  readonly sites: Uint16Array;
  /** Regions, or sites at a finer grain. */
  readonly siteNames: readonly string[];
}

export default ClientBlockColumns;
