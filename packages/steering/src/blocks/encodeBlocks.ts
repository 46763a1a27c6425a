/**
 * Compact encoding of client blocks in parts below a megabyte.
 *
 * A part is a format byte, the site names, the number of rows, and for each row the gap since the
 * end of the row before, the prefix length and the site: four to seven bytes a row.
 */
import type ClientBlockColumns from '../ClientBlockColumns.js';
import computeBlockSize from '../computeBlockSize.js';
import BLOCK_FORMAT from './BLOCK_FORMAT.js';
import ByteWriter from './ByteWriter.js';

/** Rows of one part; at most nine bytes a row keep it below a megabyte. */
const ROWS_PER_PART = 100_000;

function writeHead(writer: ByteWriter, siteNames: readonly string[], rows: number): void {
  writer.writeByte(BLOCK_FORMAT.part);
  writer.writeNumber(siteNames.length);
  siteNames.forEach((name) => writer.writeText(name));
  writer.writeNumber(rows);
}

function encodePart(columns: ClientBlockColumns, start: number, end: number): Uint8Array {
  const { firsts, prefixLengths, sites, siteNames } = columns;
  const writer = new ByteWriter();
  writeHead(writer, siteNames, end - start);
  let free = 0;
  for (let row = start; row < end; row += 1) {
    const first = firsts[row] ?? 0;
    const prefixLength = prefixLengths[row] ?? 0;
    writer.writeNumber(first - free);
    writer.writeByte(prefixLength);
    writer.writeNumber(sites[row] ?? 0);
    free = first + computeBlockSize(prefixLength);
  }
  return writer.toBytes();
}

/** Parts in order of addresses; each can be read by itself. */
export default function encodeBlocks(columns: ClientBlockColumns): readonly Uint8Array[] {
  const parts: Uint8Array[] = [];
  const rows = columns.firsts.length;
  for (let start = 0; start < rows || start === 0; start += ROWS_PER_PART) {
    parts.push(encodePart(columns, start, Math.min(start + ROWS_PER_PART, rows)));
  }
  return parts;
}
