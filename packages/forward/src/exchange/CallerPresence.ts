/**
 * Whether a caller still waits for its answer.
 */

/** Told when the caller goes away. */
interface Listener {
  onCallerGone(): void;
}

/** Makes an `AbortSignal` only when one is asked for, since most requests need none. */
export default class CallerPresence {
  private gone = false;

  private abort: AbortController | null = null;

  private listener: Listener | null = null;

  /** Aborted when the caller goes away. */
  get signal(): AbortSignal {
    this.abort ??= new AbortController();
    if (this.gone) {
      this.abort.abort();
    }
    return this.abort.signal;
  }

  isGone(): boolean {
    return this.gone;
  }

  /** Tells the one listener; null takes the listener off. */
  setListener(listener: Listener | null): void {
    this.listener = listener;
  }

  /** Records that the caller went away. */
  markGone(): void {
    this.gone = true;
    this.abort?.abort();
    this.listener?.onCallerGone();
  }
}
