/**
 * Requests that a caller has sent on one connection, whose responses are sent in order.
 *
 * A response that breaks off after a part of it was sent can only end the connection, and takes the responses behind it
 * along, also those of sound targets. So a response with others behind it is held back until it is whole, as far as memory
 * allows, and a request behind a response that has been sent in part waits before it is passed on to a target.
 */
import type { ServerResponse } from 'node:http';
import type Clock from '@burdockcove/runtime/Clock';
import type ReadAheadBudget from './ReadAheadBudget.js';

/** Larger responses are not held back. */
const MAX_HELD_BYTES = 1024 * 1024;

/** One connection; a request is known by its response. */
export default class CallerPipeline {
  /** Requests whose responses are not over, in order, and whether a part of the response has been sent. */
  private readonly requests = new Map<ServerResponse, boolean>();

  private last: ServerResponse | null = null;

  private readonly waiting = new Set<() => void>();

  constructor(private readonly budget: ReadAheadBudget) {}

  /** Adds the latest request. */
  enter(response: ServerResponse): void {
    this.requests.set(response, false);
    this.last = response;
  }

  /** Removes a request whose response is over. */
  leave(response: ServerResponse): void {
    this.requests.delete(response);
    this.last = this.last === response ? null : this.last;
    this.wakeWaiting();
  }

  /**
   * Reserves memory to hold back a response of so many bytes; returns false if there are no requests behind it, or the
   * response is too large.
   */
  reserve(response: ServerResponse, bytes: number): boolean {
    const hasFollowers = this.requests.has(response) && this.last !== response;
    const isHeld = hasFollowers && bytes <= MAX_HELD_BYTES && this.budget.hasRoom();
    if (isHeld) {
      this.budget.add(bytes);
    }
    return isHeld;
  }

  /** Returns memory that was reserved. */
  release(bytes: number): void {
    this.budget.release(bytes);
  }

  /** Records that a part of the response has been sent, and that the rest may not come. */
  recordPart(response: ServerResponse): void {
    if (this.requests.has(response)) {
      this.requests.set(response, true);
    }
  }

  /** Records that the whole response is there. */
  recordWhole(response: ServerResponse): void {
    if (this.requests.get(response)) {
      this.requests.set(response, false);
      this.wakeWaiting();
    }
  }

  /** Whether a response before this one has been sent in part. */
  isBehindPart(response: ServerResponse): boolean {
    for (const [earlier, isSentInPart] of this.requests) {
      if (earlier === response) {
        return false;
      }
      if (isSentInPart) {
        return true;
      }
    }
    return false;
  }

  /** Resolves once no response before this one is sent in part, after the time, or when the signal is aborted. */
  async waitForTurn(
    response: ServerResponse,
    clock: Clock,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    let isOver = signal.aborted;
    const end = (): void => {
      isOver = true;
      this.wakeWaiting();
    };
    const timer = clock.startTimer(Math.max(0, timeoutMs), end);
    signal.addEventListener('abort', end, { once: true });
    while (!isOver && this.isBehindPart(response)) {
      await new Promise<void>((resolve) => {
        this.waiting.add(resolve);
      });
    }
    timer.cancel();
    signal.removeEventListener('abort', end);
  }

  private wakeWaiting(): void {
    const woken = [...this.waiting];
    this.waiting.clear();
    woken.forEach((wake) => wake());
  }
}
