/**
 * Whether this process is leaving.
 */

/** `serving`, then `leaving` (absent from look-ups, still serving), then `refusing` (no new requests). */
type Phase = 'serving' | 'leaving' | 'refusing';

/** Set by the planned stop, read by look-ups and by the server for callers. */
export default class StopState {
  private phase: Phase = 'serving';

  getPhase(): Phase {
    return this.phase;
  }

  /** True from the start of a planned stop on. */
  isLeaving(): boolean {
    return this.phase !== 'serving';
  }

  /** Goes to the phase; a phase never goes back. */
  advance(phase: 'leaving' | 'refusing'): void {
    if (this.phase !== 'refusing') {
      this.phase = phase;
    }
  }
}
