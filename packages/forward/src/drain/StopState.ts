/**
 * Phase of the planned stop of this process.
 */

/** `serving`, then `leaving` (absent from look-ups, still serving), then `refusing` (no new requests). */
type Phase = 'serving' | 'leaving' | 'refusing';

/** Set by the planned stop; read by look-ups and by the server for callers. */
export default class StopState {
  private phase: Phase = 'serving';

  getPhase(): Phase {
    return this.phase;
  }

  /** Whether a planned stop has started. */
  isLeaving(): boolean {
    return this.phase !== 'serving';
  }

  /** Advances to the phase; phases never go back. */
  advance(phase: 'leaving' | 'refusing'): void {
    if (this.phase !== 'refusing') {
      this.phase = phase;
    }
  }
}
