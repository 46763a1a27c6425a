/**
 * Client blocks at the target size: look-ups, memory, and the cost of taking in a change.
 */
import { isLeft, type Either } from 'fp-ts/lib/Either.js';
import Random from '@burdockcove/runtime/Random';
import type BlockRow from '@burdockcove/steering/BlockRow';
import type BlockDelta from '@burdockcove/steering/blocks/BlockDelta';
import applyBlockDelta from '@burdockcove/steering/blocks/applyBlockDelta';
import encodeBlockDelta from '@burdockcove/steering/blocks/encodeBlockDelta';
import encodeBlocks from '@burdockcove/steering/blocks/encodeBlocks';
import parseBlockDelta from '@burdockcove/steering/blocks/parseBlockDelta';
import parseBlocks from '@burdockcove/steering/blocks/parseBlocks';
import ClientBlockTable from '@burdockcove/steering/ClientBlockTable';
import formatIpv4 from '@burdockcove/steering/formatIpv4';
import buildSortedColumns from '@burdockcove/steering/buildSortedColumns';
import type Bench from '../Bench.js';
import type FigureDraft from '../FigureDraft.js';
import buildBlockRows from './blocks/buildBlockRows.js';
import measureLookUps from './blocks/measureLookUps.js';
import measureMemory from './blocks/measureMemory.js';
import PrefixMaps from './blocks/PrefixMaps.js';

const BLOCKS = 730_000;
const SITES = 670;
const CHANGED_SHARE = 0.01;
const LOOK_UPS = 1_000_000;
const ADDRESSES = 2 ** 32;
/** 6.6 million look-ups a second over 6,000 entry VMs. */
const TARGET_PER_SECOND = 1100;
const MAX_MEGABYTES = 32;
const MAX_PART_BYTES = 1_000_000;

function unwrap<A>(result: Either<string, A>): A {
  if (isLeft(result)) {
    throw new Error(result.left);
  }
  return result.right;
}

function measureMs<A>(run: () => A): { readonly result: A; readonly ms: number } {
  const startedMs = performance.now();
  const result = run();
  return { result, ms: performance.now() - startedMs };
}

/** Moves a share of the blocks to other sites. */
function buildDelta(rows: readonly BlockRow[], random: Random): BlockDelta {
  const changed = rows.filter(() => random.nextFloat() < CHANGED_SHARE);
  return {
    fromRevision: 1,
    toRevision: 2,
    removed: changed.map(({ first }) => first),
    added: changed.map((row) => ({ ...row, site: random.nextInt(SITES) })),
    addedSites: [],
  };
}

function measureTable(
  rows: readonly BlockRow[],
  siteNames: readonly string[],
  random: Random,
): readonly FigureDraft[] {
  const table = measureMemory(() => new ClientBlockTable(buildSortedColumns(rows, siteNames)));
  const maps = measureMemory(() => new PrefixMaps(rows, siteNames));
  const numbers = Array.from({ length: LOOK_UPS }, () => random.nextInt(ADDRESSES));
  const addresses = numbers.map(formatIpv4);
  const own = measureLookUps((client: string) => table.value.findRegion(client), addresses);
  const byNumber = measureLookUps(
    (client: number) => table.value.findRegionByNumber(client),
    numbers,
  );
  const baseline = measureLookUps((client: number) => maps.value.findByNumber(client), numbers);
  return [
    {
      figure: 'look-ups a second, address as text',
      value: own,
      unit: 'per second',
      target: `at least ${TARGET_PER_SECOND} a second in each entry VM`,
      holds: (value) => value >= TARGET_PER_SECOND,
    },
    {
      figure: 'look-ups a second, address as number',
      value: byNumber,
      unit: 'per second',
      baseline,
    },
    {
      figure: 'memory of the table',
      value: table.megabytes,
      unit: 'MB',
      baseline: maps.megabytes,
      target: `at most ${MAX_MEGABYTES} MB for all of control`,
      holds: (value) => value <= MAX_MEGABYTES,
    },
  ];
}

function measureEncoding(
  rows: readonly BlockRow[],
  siteNames: readonly string[],
  random: Random,
): readonly FigureDraft[] {
  const columns = buildSortedColumns(rows, siteNames);
  const parts = encodeBlocks(columns);
  const partBytes = parts.map(({ length }) => length);
  const bytes = partBytes.reduce((sum, length) => sum + length, 0);
  const snapshot = measureMs(() => unwrap(parseBlocks(parts)));
  const delta = buildDelta(rows, random);
  const encoded = encodeBlockDelta(delta);
  const change = measureMs(() =>
    unwrap(applyBlockDelta(columns, 1, unwrap(parseBlockDelta(encoded)))),
  );
  return [
    { figure: 'snapshot', value: bytes, unit: 'bytes' },
    { figure: 'parts of the snapshot', value: parts.length, unit: 'parts' },
    {
      figure: 'largest part',
      value: Math.max(...partBytes),
      unit: 'bytes',
      target: 'below a megabyte',
      holds: (value) => value < MAX_PART_BYTES,
    },
    { figure: 'reading the snapshot', value: snapshot.ms, unit: 'ms' },
    { figure: 'blocks changed', value: delta.added.length, unit: 'blocks' },
    { figure: 'change of 1%', value: encoded.length, unit: 'bytes', baseline: bytes },
    { figure: 'taking in the change', value: change.ms, unit: 'ms', baseline: snapshot.ms },
  ];
}

const blocks: Bench = {
  name: 'blocks',
  summary: '730,000 client blocks to 670 sites: look-ups, memory, cost of changing 1%',
  run(seed) {
    const random = new Random(seed);
    const rows = buildBlockRows(random, BLOCKS, SITES);
    const siteNames = Array.from({ length: SITES }, (_, index) => `site-${index}`);
    return Promise.resolve([
      ...measureTable(rows, siteNames, random),
      ...measureEncoding(rows, siteNames, random),
    ]);
  },
};

export default blocks;
