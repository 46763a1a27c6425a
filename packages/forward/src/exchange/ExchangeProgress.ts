/**
 * When bytes moved in an exchange, and how many came.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Times are monotonic, in milliseconds. */
export default class ExchangeProgress {
  /** Time of the last byte in either direction. */
  lastAtMs: number;

  private readonly startedAtMs: number;

  private headAtMs = 0;

  private bytes = 0;

  constructor(private readonly clock: Clock) {
    this.startedAtMs = clock.getMonotonicMs();
    this.lastAtMs = this.startedAtMs;
  }

  /** Records that a byte moved. */
  record(): void {
    this.lastAtMs = this.clock.getMonotonicMs();
  }

  /** Records that the head of the answer came with the last byte. */
  recordHead(): void {
    this.headAtMs = this.lastAtMs;
  }

  /** Counts bytes of the answer's body; returns how many came in all. */
  addBytes(count: number): number {
    this.record();
    this.bytes += count;
    return this.bytes;
  }

  /** Time until the head, or until now where none came, and bytes of the body. */
  measure(): { readonly latencyMs: number; readonly receivedBytes: number } {
    const endMs = this.headAtMs || this.clock.getMonotonicMs();
    return { latencyMs: endMs - this.startedAtMs, receivedBytes: this.bytes };
  }
}
