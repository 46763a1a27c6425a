/**
 * Builds columns of client blocks.
 */
import type ClientBlockColumns from '../ClientBlockColumns.js';
import computeBlockSize from '../computeBlockSize.js';

const MAX_PREFIX_LENGTH = 32;
const ADDRESS_COUNT = 2 ** 32;

/** Rows must be added in order of addresses and must not overlap; throws `RangeError` otherwise. */
export default class ColumnsBuilder {
  private readonly firsts: Uint32Array;

  private readonly prefixLengths: Uint8Array;

  private readonly sites: Uint16Array;

  private rows = 0;

  private nextFreeAddress = 0;

  /** `capacity` is the maximum number of rows. */
  constructor(
    capacity: number,
    private readonly siteNames: readonly string[],
  ) {
    this.firsts = new Uint32Array(capacity);
    this.prefixLengths = new Uint8Array(capacity);
    this.sites = new Uint16Array(capacity);
  }

  /** Returns the address after the last row. */
  getNextFreeAddress(): number {
    return this.nextFreeAddress;
  }

  addRow(first: number, prefixLength: number, site: number): void {
    if (prefixLength > MAX_PREFIX_LENGTH || site >= this.siteNames.length) {
      throw new RangeError('block has an unknown site or an invalid prefix length');
    }
    const end = first + computeBlockSize(prefixLength);
    if (first < this.nextFreeAddress || end > ADDRESS_COUNT || this.rows === this.firsts.length) {
      throw new RangeError('blocks overlap, are out of range or exceed the capacity');
    }
    this.firsts[this.rows] = first;
    this.prefixLengths[this.rows] = prefixLength;
    this.sites[this.rows] = site;
    this.rows += 1;
    this.nextFreeAddress = end;
  }

  /** Returns the columns, truncated to the rows that were added. */
  build(): ClientBlockColumns {
    const isFull = this.rows === this.firsts.length;
    return {
      firsts: isFull ? this.firsts : this.firsts.slice(0, this.rows),
      prefixLengths: isFull ? this.prefixLengths : this.prefixLengths.slice(0, this.rows),
      sites: isFull ? this.sites : this.sites.slice(0, this.rows),
      siteNames: this.siteNames,
    };
  }
}
