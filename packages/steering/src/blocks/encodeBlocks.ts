/**
 * Compact encoding of client blocks in parts of less than a megabyte.
 *
 * A part consists of a format byte, the site names, the number of rows and, for each row, the gap
 * since the end of the previous row, the prefix length and the site: four to seven bytes per row.
 */
import type ClientBlockColumns from '../ClientBlockColumns.js';
import computeBlockSize from '../computeBlockSize.js';
import BLOCK_FORMAT from './BLOCK_FORMAT.js';
import ByteWriter from './ByteWriter.js';

/** With at most nine bytes per row, this keeps a part below a megabyte. */
const ROWS_PER_PART = 100_000;

function writeHeader(writer: ByteWriter, siteNames: readonly string[], rows: number): void {
  writer.writeByte(BLOCK_FORMAT.part);
  writer.writeVarint(siteNames.length);
  siteNames.forEach((name) => writer.writeString(name));
  writer.writeVarint(rows);
}

function encodePart(columns: ClientBlockColumns, start: number, end: number): Uint8Array {
  const { firsts, prefixLengths, sites, siteNames } = columns;
  const writer = new ByteWriter();
  writeHeader(writer, siteNames, end - start);
  let nextFreeAddress = 0;
  for (let row = start; row < end; row += 1) {
    const first = firsts[row] ?? 0;
    const prefixLength = prefixLengths[row] ?? 0;
    writer.writeVarint(first - nextFreeAddress);
    writer.writeByte(prefixLength);
    writer.writeVarint(sites[row] ?? 0);
    nextFreeAddress = first + computeBlockSize(prefixLength);
  }
  return writer.toBytes();
}

/** Returns parts in order of addresses; each part can be decoded independently. */
export default function encodeBlocks(columns: ClientBlockColumns): readonly Uint8Array[] {
  const parts: Uint8Array[] = [];
  const rows = columns.firsts.length;
  for (let start = 0; start < rows || start === 0; start += ROWS_PER_PART) {
    parts.push(encodePart(columns, start, Math.min(start + ROWS_PER_PART, rows)));
  }
  return parts;
}
