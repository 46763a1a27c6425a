/**
 * Phase of the planned stop of this process.
 */

/** `serving`, then `leaving` (absent from look-ups, still serving), then `refusing` (no new requests). */
type Phase = 'serving' | 'leaving' | 'refusing';

/** Set by the planned stop; read by look-ups and by the server for callers. */
export default class StopState {
  private phase: Phase = 'serving';

  private endAtMs = Infinity;

  getPhase(): Phase {
    return this.phase;
  }

  /** Whether a planned stop has started. */
  isLeaving(): boolean {
    return this.phase !== 'serving';
  }

  /** Returns the monotonic time by which all requests must have ended, in milliseconds; infinite before a stop. */
  getEndAtMs(): number {
    return this.endAtMs;
  }

  /** Starts the stop; later calls change nothing. */
  startLeaving(endAtMs: number): void {
    if (this.phase === 'serving') {
      this.phase = 'leaving';
      this.endAtMs = endAtMs;
    }
  }

  /** Refuses new requests from here on. */
  startRefusing(): void {
    this.phase = 'refusing';
  }
}
