/**
 * Writing of bytes, variable-length numbers and text.
 */

const FIRST_CAPACITY = 1024;
const GROUP_SIZE = 128;

/** Grows as it is written to. */
export default class ByteWriter {
  private bytes = new Uint8Array(FIRST_CAPACITY);

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
  writeNumber(value: number): void {
    let left = value;
    while (left >= GROUP_SIZE) {
      this.writeByte((left % GROUP_SIZE) + GROUP_SIZE);
      left = Math.floor(left / GROUP_SIZE);
    }
    this.writeByte(left);
  }

  writeText(text: string): void {
    const encoded = new TextEncoder().encode(text);
    this.writeNumber(encoded.length);
    encoded.forEach((byte) => this.writeByte(byte));
  }

  /** A copy of what was written. */
  toBytes(): Uint8Array {
    return this.bytes.slice(0, this.length);
  }
}
