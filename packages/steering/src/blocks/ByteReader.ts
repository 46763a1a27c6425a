/**
 * Reading of bytes, variable-length numbers and text.
 */

const GROUP_SIZE = 128;
const MAX_NUMBER_BYTES = 8;

/** Throws `RangeError` past the end or on a malformed number. */
export default class ByteReader {
  private position = 0;

  constructor(private readonly bytes: Uint8Array) {}

  readByte(): number {
    const byte = this.bytes[this.position];
    if (byte === undefined) {
      throw new RangeError('the bytes end early');
    }
    this.position += 1;
    return byte;
  }

  /** As written by `ByteWriter.writeNumber`. */
  readNumber(): number {
    let value = 0;
    let factor = 1;
    for (let count = 0; count < MAX_NUMBER_BYTES; count += 1) {
      const byte = this.readByte();
      value += (byte % GROUP_SIZE) * factor;
      if (byte < GROUP_SIZE) {
        return value;
      }
      factor *= GROUP_SIZE;
    }
    throw new RangeError('a number is too long');
  }

  readText(): string {
    const length = this.readNumber();
    const end = this.position + length;
    if (end > this.bytes.length) {
      throw new RangeError('the bytes end early');
    }
    const text = new TextDecoder().decode(this.bytes.subarray(this.position, end));
    this.position = end;
    return text;
  }

  isAtEnd(): boolean {
    return this.position === this.bytes.length;
  }
}
