/**
 * Looks up a client's region by its address.
 *
 * Blocks do not overlap. They are stored sorted in typed arrays (seven bytes per block) and found
 * by binary search.
 */
import { isNone, isSome } from 'fp-ts/lib/Option.js';
import type ClientBlock from '@burdockcove/types/ClientBlock';
import type ClientBlockColumns from './ClientBlockColumns.js';
import computeBlockSize from './computeBlockSize.js';
import parseCidr from './parseCidr.js';
import parseIpv4 from './parseIpv4.js';
import buildSortedColumns from './buildSortedColumns.js';

/** Immutable; a change creates a new table. */
export default class ClientBlockTable {
  constructor(readonly columns: ClientBlockColumns) {}

  /** Builds the table from validated blocks; malformed blocks are omitted. */
  static fromBlocks(blocks: readonly ClientBlock[]): ClientBlockTable {
    const regions = [...new Set(blocks.map((block) => block.region))];
    const numbers = new Map(regions.map((region, index) => [region, index]));
    const rows = blocks.flatMap((block) => {
      const parsed = parseCidr(block.cidr);
      return isSome(parsed) ? [{ ...parsed.value, site: numbers.get(block.region) ?? 0 }] : [];
    });
    return new ClientBlockTable(buildSortedColumns(rows, regions));
  }

  get size(): number {
    return this.columns.firsts.length;
  }

  /**
   * Returns the region (or site) of the client, or an empty string if no block contains the
   * address.
   */
  findRegion(clientAddress: string): string {
    const address = parseIpv4(clientAddress);
    return isNone(address) ? '' : this.findRegionByNumber(address.value);
  }

  /** Like `findRegion`, for a parsed address. */
  findRegionByNumber(address: number): string {
    const { firsts, prefixLengths, sites, siteNames } = this.columns;
    let low = 0;
    let high = firsts.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((firsts[middle] ?? 0) <= address) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    const row = low - 1;
    if (row < 0 || address - (firsts[row] ?? 0) >= computeBlockSize(prefixLengths[row] ?? 0)) {
      return '';
    }
    return siteNames[sites[row] ?? 0] ?? '';
  }
}
