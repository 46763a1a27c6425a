/**
 * Decodes client blocks.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type ClientBlockColumns from '../ClientBlockColumns.js';
import BLOCK_FORMAT from './BLOCK_FORMAT.js';
import ByteReader from './ByteReader.js';
import ColumnsBuilder from './ColumnsBuilder.js';

/** Limits the memory that a malformed header can make the reader allocate. */
const MAX_ROWS = 1_000_000;
const MAX_SITES = 65_536;

/** A decoded part header and the reader positioned after it. */
interface PartHeader {
  readonly reader: ByteReader;
  readonly siteNames: readonly string[];
  readonly rows: number;
}

function readPartHeader(part: Uint8Array): PartHeader {
  const reader = new ByteReader(part);
  const format = reader.readByte();
  if (format !== BLOCK_FORMAT.part) {
    throw new RangeError(`unknown block format ${format}`);
  }
  const sites = reader.readVarint();
  if (sites > MAX_SITES) {
    throw new RangeError('too many sites');
  }
  const siteNames = Array.from({ length: sites }, () => reader.readString());
  const rows = reader.readVarint();
  if (rows > MAX_ROWS) {
    throw new RangeError('too many rows');
  }
  return { reader, siteNames, rows };
}

function readRows({ reader, rows }: PartHeader, builder: ColumnsBuilder): void {
  let nextFreeAddress = 0;
  for (let row = 0; row < rows; row += 1) {
    const first = nextFreeAddress + reader.readVarint();
    const prefixLength = reader.readByte();
    builder.addRow(first, prefixLength, reader.readVarint());
    nextFreeAddress = builder.getNextFreeAddress();
  }
  if (!reader.isAtEnd()) {
    throw new RangeError('unexpected data after the last row');
  }
}

/** Returns the columns of all parts combined, or the reason why they are rejected. */
export default function parseBlocks(
  parts: readonly Uint8Array[],
): Either<string, ClientBlockColumns> {
  try {
    const headers = parts.map(readPartHeader);
    const siteNames = headers[0]?.siteNames ?? [];
    if (headers.some((part) => part.siteNames.join() !== siteNames.join())) {
      return left('parts have different site names');
    }
    const rows = headers.reduce((sum, part) => sum + part.rows, 0);
    const builder = new ColumnsBuilder(rows, siteNames);
    headers.forEach((part) => readRows(part, builder));
    return right(builder.build());
  } catch (error) {
    if (error instanceof RangeError) {
      return left(error.message);
    }
    throw error;
  }
}
