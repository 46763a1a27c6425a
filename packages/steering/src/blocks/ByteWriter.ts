/**
 * Writes bytes, variable-length integers and strings.
 */

const INITIAL_CAPACITY_BYTES = 1024;
const VARINT_BASE = 128;

/** The buffer grows as needed. */
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

  /** Writes an unsigned integer of up to 53 bits, seven bits per byte, least significant first. */
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

  /** Returns a copy of the written bytes. */
  toBytes(): Uint8Array {
    return this.bytes.slice(0, this.length);
  }
}
