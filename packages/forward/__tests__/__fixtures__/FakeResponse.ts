/**
 * Response that counts what is written to it.
 */

/** Its caller reads all at once, or nothing. */
export default class FakeResponse {
  writes = 0;

  bytes = 0;

  constructor(private readonly isRead: boolean) {}

  writeHead(): void {
    this.writes = 0;
  }

  write(piece: Buffer): boolean {
    this.writes += 1;
    this.bytes += piece.length;
    return this.isRead;
  }

  end(rest: Buffer | string = ''): void {
    this.bytes += rest.length;
  }

  /** A caller that does not read never drains. */
  once(): void {}
}
