/**
 * Whether the caller of a request is still connected.
 */

/** Notified when the caller disconnects. */
interface Listener {
  onCallerDisconnected(): void;
}

/** Created for each request. The signal belongs to the connection, because a signal for each request is expensive to create. */
export default class CallerState {
  private gone = false;

  private listener: Listener | null = null;

  /** `signal` is aborted when the caller's connection closes. */
  constructor(readonly signal: AbortSignal) {}

  isDisconnected(): boolean {
    return this.gone;
  }

  /** Sets the only listener; null removes it. */
  setListener(listener: Listener | null): void {
    this.listener = listener;
  }

  /** Records that the caller disconnected and notifies the listener. */
  markDisconnected(): void {
    this.gone = true;
    this.listener?.onCallerDisconnected();
  }
}
