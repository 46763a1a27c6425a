/**
 * The baseline: a map of prefixes for each prefix length.
 */
import type BlockRow from '@burdockcove/steering/BlockRow';
import computeBlockSize from '@burdockcove/steering/computeBlockSize';

/** Tries the longest prefix first. */
export default class PrefixMaps {
  private readonly maps = new Map<number, Map<number, number>>();

  private readonly lengths: readonly number[];

  constructor(
    rows: readonly BlockRow[],
    private readonly siteNames: readonly string[],
  ) {
    rows.forEach(({ first, prefixLength, site }) => {
      const map = this.maps.get(prefixLength) ?? new Map<number, number>();
      map.set(first, site);
      this.maps.set(prefixLength, map);
    });
    this.lengths = [...this.maps.keys()].sort((one, other) => other - one);
  }

  findByNumber(address: number): string {
    for (const length of this.lengths) {
      const site = this.maps.get(length)?.get(address - (address % computeBlockSize(length)));
      if (site !== undefined) {
        return this.siteNames[site] ?? '';
      }
    }
    return '';
  }
}
