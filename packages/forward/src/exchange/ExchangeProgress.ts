/**
 * Progress of an exchange: time of the last byte and bytes received.
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

  /** Records that bytes were sent or received. */
  record(): void {
    this.lastAtMs = this.clock.getMonotonicMs();
  }

  /** Records that the head of the response arrived with the last byte. */
  recordHead(): void {
    this.headAtMs = this.lastAtMs;
  }

  /** Adds received bytes of the response's body; returns their total. */
  addBytes(count: number): number {
    this.record();
    this.bytes += count;
    return this.bytes;
  }

  /** Returns the time until the head, or until now if none arrived, and the bytes received of the body. */
  measure(): { readonly latencyMs: number; readonly receivedBytes: number } {
    const endMs = this.headAtMs || this.clock.getMonotonicMs();
    return { latencyMs: endMs - this.startedAtMs, receivedBytes: this.bytes };
  }
}
