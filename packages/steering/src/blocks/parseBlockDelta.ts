/**
 * Decodes client block deltas.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type BlockRow from '../BlockRow.js';
import type BlockDelta from './BlockDelta.js';
import BLOCK_FORMAT from './BLOCK_FORMAT.js';
import ByteReader from './ByteReader.js';

const MAX_ITEMS = 1_000_000;

function readCount(reader: ByteReader): number {
  const count = reader.readVarint();
  if (count > MAX_ITEMS) {
    throw new RangeError('too many items');
  }
  return count;
}

function readDelta(reader: ByteReader): BlockDelta {
  const format = reader.readByte();
  if (format !== BLOCK_FORMAT.delta) {
    throw new RangeError(`unknown block format ${format}`);
  }
  const fromRevision = reader.readVarint();
  const toRevision = reader.readVarint();
  const addedSites = Array.from({ length: readCount(reader) }, () => reader.readString());
  let last = 0;
  const removed = Array.from({ length: readCount(reader) }, () => {
    last += reader.readVarint();
    return last;
  });
  last = 0;
  const added = Array.from({ length: readCount(reader) }, (): BlockRow => {
    last += reader.readVarint();
    return { first: last, prefixLength: reader.readByte(), site: reader.readVarint() };
  });
  return { fromRevision, toRevision, removed, added, addedSites };
}

/**
 * Returns the delta, or the reason why it is rejected; an unknown format is rejected, not skipped.
 */
export default function parseBlockDelta(bytes: Uint8Array): Either<string, BlockDelta> {
  try {
    const reader = new ByteReader(bytes);
    const delta = readDelta(reader);
    return reader.isAtEnd() ? right(delta) : left('unexpected data after the last row');
  } catch (error) {
    if (error instanceof RangeError) {
      return left(error.message);
    }
    throw error;
  }
}
