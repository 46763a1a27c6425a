/**
 * Writing of bytes, variable-length numbers and text.
 */

const INITIAL_CAPACITY_BYTES = 1024;
const VARINT_BASE = 128;

/** Grows as it is written to. */
export default class ByteWriter {
  private bytes = new Uint8Array(INITIAL_CAPACITY_BYTES);

  private length = 0;

  writeByte(byte: number): void {
    if (this.length === this.bytes.length) {
      const larger = new Uint8Array(this.bytes.length * 2);
      larger.set(this.bytes);
      this.bytes = larger;
    }
    this.bytes[this.length] = byte;
    this.length += 1;
  }

  /** An unsigned number of up to 53 bits, seven bits a byte, the lowest first. */
  writeVarint(value: number): void {
    let remaining = value;
    while (remaining >= VARINT_BASE) {
      this.writeByte((remaining % VARINT_BASE) + VARINT_BASE);
      remaining = Math.floor(remaining / VARINT_BASE);
    }
    this.writeByte(remaining);
  }

  writeString(text: string): void {
    const encoded = new TextEncoder().encode(text);
    this.writeVarint(encoded.length);
    encoded.forEach((byte) => this.writeByte(byte));
  }

  /** A copy of what was written. */
  toBytes(): Uint8Array {
    return this.bytes.slice(0, this.length);
  }
}
