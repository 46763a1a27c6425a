/**
 * Compact encoding of client block deltas.
 */
import type BlockDelta from './BlockDelta.js';
import BLOCK_FORMAT from './BLOCK_FORMAT.js';
import ByteWriter from './ByteWriter.js';

/** Each address is encoded as the difference from the previous one. */
export default function encodeBlockDelta(delta: BlockDelta): Uint8Array {
  const writer = new ByteWriter();
  writer.writeByte(BLOCK_FORMAT.delta);
  writer.writeVarint(delta.fromRevision);
  writer.writeVarint(delta.toRevision);
  writer.writeVarint(delta.addedSites.length);
  delta.addedSites.forEach((name) => writer.writeString(name));
  writer.writeVarint(delta.removed.length);
  let last = 0;
  delta.removed.forEach((first) => {
    writer.writeVarint(first - last);
    last = first;
  });
  writer.writeVarint(delta.added.length);
  last = 0;
  delta.added.forEach(({ first, prefixLength, site }) => {
    writer.writeVarint(first - last);
    writer.writeByte(prefixLength);
    writer.writeVarint(site);
    last = first;
  });
  return writer.toBytes();
}
