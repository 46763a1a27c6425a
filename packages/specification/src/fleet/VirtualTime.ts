/**
 * Virtual time for simulations of many processes in one.
 */
import { setImmediate } from 'node:timers/promises';
import type Timer from '@burdockcove/runtime/Timer';

interface ScheduledEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** Runs events in order of their times; events at the same time run in the order of their scheduling. */
export default class VirtualTime {
  /** Latest first, so that the next event is taken from the end. */
  private readonly events: ScheduledEvent[] = [];

  private nowMs = 0;

  getNowMs(): number {
    return this.nowMs;
  }

  schedule(delayMs: number, run: () => void): Timer {
    const event = { atMs: this.nowMs + Math.max(0, delayMs), run };
    this.events.splice(this.findPlace(event.atMs), 0, event);
    return { cancel: () => this.cancelEvent(event) };
  }

  /** Runs all events up to the time given, in milliseconds; promises settle between events. */
  async runUntil(untilMs: number): Promise<void> {
    await setImmediate();
    for (let event = this.takeDue(untilMs); event; event = this.takeDue(untilMs)) {
      this.nowMs = event.atMs;
      event.run();
      await setImmediate();
    }
    this.nowMs = Math.max(this.nowMs, untilMs);
  }

  private takeDue(untilMs: number): ScheduledEvent | undefined {
    const next = this.events[this.events.length - 1];
    return next !== undefined && next.atMs <= untilMs ? this.events.pop() : undefined;
  }

  private cancelEvent(event: ScheduledEvent): void {
    const index = this.events.indexOf(event);
    if (index >= 0) {
      this.events.splice(index, 1);
    }
  }

  /** First place whose event is not later than the time. */
  private findPlace(atMs: number): number {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.events[middle]?.atMs ?? 0) > atMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
