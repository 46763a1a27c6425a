/**
 * What client blocks cost.
 */
import Random from '@burdockcove/runtime/Random';
import ClientBlockTable from '@burdockcove/steering/ClientBlockTable';
import encodeBlocks from '@burdockcove/steering/blocks/encodeBlocks';
import buildSortedColumns from '@burdockcove/steering/buildSortedColumns';
import buildBlockRows from '../../benches/blocks/buildBlockRows.js';
import type SlopeMeasurement from '../SlopeMeasurement.js';
import twoYearTarget from '../twoYearTarget.js';
import measureHeldBytes from './measureHeldBytes.js';

const SIZES = [91_250, 182_500, 365_000, 730_000];

function buildColumns(size: number, seed: number) {
  const names = Array.from({ length: twoYearTarget.sites }, (_none, index) => `site-${index}`);
  return buildSortedColumns(buildBlockRows(new Random(seed), size, twoYearTarget.sites), names);
}

const blockMeasurements: readonly SlopeMeasurement[] = [
  {
    name: 'block-memory',
    summary: 'Memory of the table of client blocks',
    per: 'blocks',
    unit: 'bytes',
    sizes: SIZES,
    measure: async (size, seed) =>
      measureHeldBytes(
        () => new ClientBlockTable(buildColumns(size, seed)),
        (table) => table.findRegion('127.0.0.1'),
      ),
  },
  {
    name: 'block-bytes',
    summary: 'Encoded client blocks',
    per: 'blocks',
    unit: 'bytes',
    sizes: SIZES,
    measure: async (size, seed) =>
      encodeBlocks(buildColumns(size, seed)).reduce((sum, part) => sum + part.length, 0),
  },
];

export default blockMeasurements;
