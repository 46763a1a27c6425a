/**
 * Memory budget for bytes of request bodies that are read before their targets accept them.
 */

/** Shared by all streamed bodies of the process. */
export default class ReadAheadBudget {
  private usedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  hasRoom(): boolean {
    return this.usedBytes < this.maxBytes;
  }

  /** Counts bytes that were read. */
  add(bytes: number): void {
    this.usedBytes += bytes;
  }

  /** Counts bytes that were passed on or discarded. */
  release(bytes: number): void {
    this.usedBytes -= bytes;
  }
}
