/**
 * Encoding and decoding of client blocks and their deltas.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { isLeft, isRight, type Either } from 'fp-ts/lib/Either.js';
import applyBlockDelta from '../src/blocks/applyBlockDelta.js';
import encodeBlockDelta from '../src/blocks/encodeBlockDelta.js';
import encodeBlocks from '../src/blocks/encodeBlocks.js';
import parseBlockDelta from '../src/blocks/parseBlockDelta.js';
import parseBlocks from '../src/blocks/parseBlocks.js';
import type BlockRow from '../src/BlockRow.js';
import computeBlockSize from '../src/computeBlockSize.js';
import buildSortedColumns from '../src/buildSortedColumns.js';

const SEED = 20261204;
const SITES = ['a', 'b', 'ĉ'];

/** Sorted rows that do not overlap. */
const rowsArbitrary = fc
  .array(fc.record({ gap: fc.nat({ max: 5000 }), bits: fc.nat(6), site: fc.nat(2) }))
  .map((steps) => {
    let free = 0;
    return steps.map(({ gap, bits, site }): BlockRow => {
      const size = 2 ** bits;
      const first = Math.ceil((free + gap) / size) * size;
      free = first + size;
      return { first, prefixLength: 32 - bits, site };
    });
  });

function unwrap<A>(result: Either<string, A>): A {
  if (isLeft(result)) {
    throw new Error(result.left);
  }
  return result.right;
}

describe('client blocks', () => {
  it('decodes what it encoded', () => {
    fc.assert(
      fc.property(rowsArbitrary, (rows) => {
        const columns = buildSortedColumns(rows, SITES);
        expect(unwrap(parseBlocks(encodeBlocks(columns)))).to.deep.equal(columns);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('applies a delta with the same result as rebuilding the table', () => {
    fc.assert(
      fc.property(rowsArbitrary, fc.infiniteStream(fc.nat(3)), (rows, kinds) => {
        const drawn = rows.map((row) => ({ row, kind: kinds.next().value as number }));
        const before = drawn.filter(({ kind }) => kind !== 0).map(({ row }) => row);
        const changed = drawn.filter(({ kind }) => kind === 2).map(({ row }) => row);
        const fresh = drawn.filter(({ kind }) => kind === 0).map(({ row }) => row);
        const moved = changed.map((row) => ({ ...row, site: 3 }));
        const added = [...fresh, ...moved].sort((one, other) => one.first - other.first);
        const delta = {
          fromRevision: 4,
          toRevision: 5,
          removed: changed.map(({ first }) => first),
          added,
          addedSites: ['d'],
        };
        const read = unwrap(parseBlockDelta(encodeBlockDelta(delta)));
        expect(read).to.deep.equal(delta);
        const after = unwrap(applyBlockDelta(buildSortedColumns(before, SITES), 4, read));
        const kept = before.filter((row) => !changed.includes(row));
        expect(after).to.deep.equal(buildSortedColumns([...kept, ...added], [...SITES, 'd']));
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('rejects deltas that do not apply, and never throws on corrupt data', () => {
    const columns = buildSortedColumns([{ first: 256, prefixLength: 24, site: 0 }], SITES);
    const delta = { fromRevision: 1, toRevision: 2, removed: [], added: [], addedSites: [] };
    const overlap = { ...delta, added: [{ first: 300, prefixLength: 32, site: 0 }] };
    expect(isLeft(applyBlockDelta(columns, 2, delta))).to.equal(true);
    expect(isLeft(applyBlockDelta(columns, 1, { ...delta, removed: [512] }))).to.equal(true);
    expect(isLeft(applyBlockDelta(columns, 1, overlap))).to.equal(true);
    const [part = new Uint8Array()] = encodeBlocks(columns);
    expect(isLeft(parseBlocks([Uint8Array.of(2, ...part.slice(1))]))).to.equal(true);
    expect(isLeft(parseBlockDelta(part))).to.equal(true);
    expect(isLeft(parseBlocks([part.slice(0, -1)]))).to.equal(true);
    fc.assert(
      fc.property(fc.uint8Array({ minLength: 1 }), (bytes) => {
        parseBlocks([bytes]);
        parseBlockDelta(bytes);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('splits blocks into parts below a megabyte', () => {
    const rows = Array.from({ length: 250_000 }, (_, index) => ({
      first: index * 16_384,
      prefixLength: 30,
      site: index % 670,
    }));
    const names = Array.from({ length: 670 }, (_, index) => `site-${index}`);
    const columns = buildSortedColumns(rows, names);
    const parts = encodeBlocks(columns);
    expect(parts).to.have.length(3);
    parts.forEach((part) => expect(part.length).to.be.below(1_000_000));
    const read = parseBlocks(parts);
    expect(isRight(read) && read.right.firsts.length).to.equal(250_000);
    expect(computeBlockSize(30)).to.equal(4);
  });
});
