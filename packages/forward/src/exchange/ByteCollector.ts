/**
 * Bytes that arrive in pieces of any size and are passed on together.
 *
 * A piece of a few bytes costs an object of some hundred, so that a body in pieces of one byte would take a hundred times
 * its size. Small pieces are copied into blocks; the number of blocks follows from the bytes, not from the pieces.
 */

/** Pieces of this size or larger are kept as they are; smaller ones share blocks of at most this size. */
const BLOCK_BYTES = 16 * 1024;
const MIN_BLOCK_BYTES = 512;

/** Each block is twice as large as the one before, up to `BLOCK_BYTES`. */
export default class ByteCollector {
  private blocks: Buffer[] = [];

  /** The block that is being filled, and how many of its bytes are used. */
  private open: Buffer = Buffer.alloc(0);

  private openBytes = 0;

  private nextBlockBytes = MIN_BLOCK_BYTES;

  private bytes = 0;

  /** Number of bytes collected. */
  get length(): number {
    return this.bytes;
  }

  /** Adds a copy of a small piece, or a large piece itself. */
  append(piece: Buffer): void {
    if (piece.length >= BLOCK_BYTES) {
      this.closeBlock();
      this.blocks.push(piece);
    } else {
      this.copy(piece);
    }
    this.bytes += piece.length;
  }

  /** Removes and returns all bytes, in blocks. */
  take(): readonly Buffer[] {
    this.closeBlock();
    const { blocks } = this;
    this.blocks = [];
    this.bytes = 0;
    return blocks;
  }

  /** Removes and returns the first block; undefined if nothing is collected. */
  shift(): Buffer | undefined {
    if (this.blocks.length === 0) {
      this.closeBlock();
    }
    const block = this.blocks.shift();
    this.bytes -= block?.length ?? 0;
    return block;
  }

  /** Removes and returns all bytes in one buffer. */
  takeJoined(): Buffer {
    const [first, ...rest] = this.take();
    if (first === undefined) {
      return Buffer.alloc(0);
    }
    return rest.length === 0 ? first : Buffer.concat([first, ...rest]);
  }

  private copy(piece: Buffer): void {
    const copied = piece.copy(this.open, this.openBytes);
    this.openBytes += copied;
    if (copied < piece.length) {
      this.closeBlock();
      const rest = piece.subarray(copied);
      this.open = Buffer.allocUnsafe(Math.max(this.nextBlockBytes, rest.length));
      this.openBytes = rest.copy(this.open);
      this.nextBlockBytes = Math.min(BLOCK_BYTES, 2 * this.open.length);
    }
  }

  private closeBlock(): void {
    if (this.openBytes > 0) {
      this.blocks.push(this.open.subarray(0, this.openBytes));
    }
    this.open = this.open.subarray(this.openBytes);
    this.openBytes = 0;
  }
}
