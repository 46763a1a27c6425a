/**
 * Whether the caller of a request is still connected.
 */
import type Clock from '@burdockcove/runtime/Clock';
import waitForPendingEvents from '@burdockcove/runtime/waitForPendingEvents';
import MAX_CALLER_STATE_AGE_MS from './MAX_CALLER_STATE_AGE_MS.js';

/** Notified when the caller disconnects. */
interface Listener {
  onCallerDisconnected(): void;
}

/** Created for each request. The signal belongs to the connection, because a signal for each request is expensive to create. */
export default class CallerState {
  private gone = false;

  private readonly listeners = new Set<Listener>();

  private refreshedAtMs = -Infinity;

  /** `signal` is aborted when the caller's connection closes. */
  constructor(readonly signal: AbortSignal) {}

  isDisconnected(): boolean {
    return this.gone;
  }

  /**
   * Reads events that are due, such as the end of the caller's connection, unless that was done lately. While the
   * process stands still, a caller may leave and its request may become ready to be sent; both are then reported in any
   * order.
   */
  async refresh(clock: Clock): Promise<void> {
    if (clock.getMonotonicMs() - this.refreshedAtMs >= MAX_CALLER_STATE_AGE_MS) {
      await waitForPendingEvents();
      this.refreshedAtMs = clock.getMonotonicMs();
    }
  }

  addListener(listener: Listener): void {
    this.listeners.add(listener);
  }

  removeListener(listener: Listener): void {
    this.listeners.delete(listener);
  }

  /** Records that the caller disconnected and notifies the listeners. */
  markDisconnected(): void {
    this.gone = true;
    [...this.listeners].forEach((listener) => listener.onCallerDisconnected());
  }
}
