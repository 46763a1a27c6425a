/**
 * Whether a caller still waits for its answer.
 */

/** Told when the caller goes away. */
interface Listener {
  onCallerDisconnected(): void;
}

/** One for each request; the signal is the connection's, since making one costs more than all the rest. */
export default class CallerState {
  private gone = false;

  private listener: Listener | null = null;

  /** `signal` is aborted when the caller's connection closes. */
  constructor(readonly signal: AbortSignal) {}

  isDisconnected(): boolean {
    return this.gone;
  }

  /** Tells the one listener; null takes the listener off. */
  setListener(listener: Listener | null): void {
    this.listener = listener;
  }

  /** Records that the caller went away. */
  markDisconnected(): void {
    this.gone = true;
    this.listener?.onCallerDisconnected();
  }
}
