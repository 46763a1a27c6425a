/**
 * Compact encoding of changes of client blocks.
 */
import type BlockDelta from './BlockDelta.js';
import BLOCK_FORMAT from './BLOCK_FORMAT.js';
import ByteWriter from './ByteWriter.js';

/** Addresses are written as differences from the one before. */
export default function encodeBlockDelta(delta: BlockDelta): Uint8Array {
  const writer = new ByteWriter();
  writer.writeByte(BLOCK_FORMAT.delta);
  writer.writeNumber(delta.fromRevision);
  writer.writeNumber(delta.toRevision);
  writer.writeNumber(delta.addedSites.length);
  delta.addedSites.forEach((name) => writer.writeText(name));
  writer.writeNumber(delta.removed.length);
  let last = 0;
  delta.removed.forEach((first) => {
    writer.writeNumber(first - last);
    last = first;
  });
  writer.writeNumber(delta.added.length);
  last = 0;
  delta.added.forEach(({ first, prefixLength, site }) => {
    writer.writeNumber(first - last);
    writer.writeByte(prefixLength);
    writer.writeNumber(site);
    last = first;
  });
  return writer.toBytes();
}
