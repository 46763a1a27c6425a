/**
 * Builds sorted columns from rows in any order.
 */
import type BlockRow from './BlockRow.js';
import type ClientBlockColumns from './ClientBlockColumns.js';

/** Sorts the rows by their lowest address. */
export default function buildSortedColumns(
  rows: readonly BlockRow[],
  siteNames: readonly string[],
): ClientBlockColumns {
  const sorted = [...rows].sort((left, right) => left.first - right.first);
  return {
    firsts: Uint32Array.from(sorted, (row) => row.first),
    prefixLengths: Uint8Array.from(sorted, (row) => row.prefixLength),
    sites: Uint16Array.from(sorted, (row) => row.site),
    siteNames,
  };
}
