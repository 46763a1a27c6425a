/**
 * Reads bytes, variable-length integers and strings.
 */

const VARINT_BASE = 128;
const MAX_VARINT_BYTES = 8;

/** Throws `RangeError` when reading past the end or on a malformed integer. */
export default class ByteReader {
  private position = 0;

  constructor(private readonly bytes: Uint8Array) {}

  readByte(): number {
    const byte = this.bytes[this.position];
    if (byte === undefined) {
      throw new RangeError('unexpected end of data');
    }
    this.position += 1;
    return byte;
  }

  /** Reads an integer written by `ByteWriter.writeVarint`. */
  readVarint(): number {
    let value = 0;
    let factor = 1;
    for (let count = 0; count < MAX_VARINT_BYTES; count += 1) {
      const byte = this.readByte();
      value += (byte % VARINT_BASE) * factor;
      if (byte < VARINT_BASE) {
        return value;
      }
      factor *= VARINT_BASE;
    }
    throw new RangeError('integer exceeds eight bytes');
  }

  readString(): string {
    const length = this.readVarint();
    const end = this.position + length;
    if (end > this.bytes.length) {
      throw new RangeError('unexpected end of data');
    }
    const text = new TextDecoder().decode(this.bytes.subarray(this.position, end));
    this.position = end;
    return text;
  }

  isAtEnd(): boolean {
    return this.position === this.bytes.length;
  }
}
