/**
 * Reading of encoded client blocks.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type ClientBlockColumns from '../ClientBlockColumns.js';
import BLOCK_FORMAT from './BLOCK_FORMAT.js';
import ByteReader from './ByteReader.js';
import ColumnsBuilder from './ColumnsBuilder.js';

/** Bounds what a malformed head can make the reader allocate. */
const MAX_ROWS = 1_000_000;
const MAX_SITES = 65_536;

/** A part whose head has been read. */
interface OpenPart {
  readonly reader: ByteReader;
  readonly siteNames: readonly string[];
  readonly rows: number;
}

function openPart(part: Uint8Array): OpenPart {
  const reader = new ByteReader(part);
  const format = reader.readByte();
  if (format !== BLOCK_FORMAT.part) {
    throw new RangeError(`unknown format ${format}`);
  }
  const sites = reader.readNumber();
  if (sites > MAX_SITES) {
    throw new RangeError('too many sites');
  }
  const siteNames = Array.from({ length: sites }, () => reader.readText());
  const rows = reader.readNumber();
  if (rows > MAX_ROWS) {
    throw new RangeError('too many rows');
  }
  return { reader, siteNames, rows };
}

function readRows({ reader, rows }: OpenPart, builder: ColumnsBuilder): void {
  let free = 0;
  for (let row = 0; row < rows; row += 1) {
    const first = free + reader.readNumber();
    const prefixLength = reader.readByte();
    builder.addRow(first, prefixLength, reader.readNumber());
    free = builder.getFreeFrom();
  }
  if (!reader.isAtEnd()) {
    throw new RangeError('bytes are left after the last row');
  }
}

/** The columns of all parts together, or why they are refused. */
export default function parseBlocks(
  parts: readonly Uint8Array[],
): Either<string, ClientBlockColumns> {
  try {
    const open = parts.map(openPart);
    const siteNames = open[0]?.siteNames ?? [];
    if (open.some((part) => part.siteNames.join() !== siteNames.join())) {
      return left('parts differ in their sites');
    }
    const rows = open.reduce((sum, part) => sum + part.rows, 0);
    const builder = new ColumnsBuilder(rows, siteNames);
    open.forEach((part) => readRows(part, builder));
    return right(builder.build());
  } catch (error) {
    if (error instanceof RangeError) {
      return left(error.message);
    }
    throw error;
  }
}
