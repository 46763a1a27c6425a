/**
 * Building of sorted columns from rows in any order.
 */
import type BlockRow from './BlockRow.js';
import type ClientBlockColumns from './ClientBlockColumns.js';

/** Sorts the rows by their lowest address. */
export default function sortBlocks(
  rows: readonly BlockRow[],
  siteNames: readonly string[],
): ClientBlockColumns {
  const order = [...rows].sort((left, right) => left.first - right.first);
  return {
    firsts: Uint32Array.from(order, (row) => row.first),
    prefixLengths: Uint8Array.from(order, (row) => row.prefixLength),
    sites: Uint16Array.from(order, (row) => row.site),
    siteNames,
  };
}
