/**
 * Virtual time for simulations with many events.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';

interface Event {
  readonly atMs: number;
  readonly order: number;
  run: (() => void) | null;
}

function isBefore(a: Event, b: Event): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Lets every promise settle. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** A heap of timers that keeps fractions of a millisecond, which `FakeClock` cuts off. */
export default class SimulationClock implements Clock {
  private readonly heap: Event[] = [];

  private nowMs = 0;

  private order = 0;

  getMonotonicMs(): number {
    return this.nowMs;
  }

  getWallMs(): number {
    return this.nowMs;
  }

  startTimer(delayMs: number, run: () => void): Timer {
    this.order += 1;
    const event: Event = { atMs: this.nowMs + Math.max(0, delayMs), order: this.order, run };
    this.push(event);
    return {
      cancel: () => {
        event.run = null;
      },
    };
  }

  /** Runs every event up to the time given, and the promises they settle. */
  async runUntil(untilMs: number): Promise<void> {
    await settlePromises();
    let next = this.heap[0];
    while (next !== undefined && next.atMs <= untilMs) {
      this.pop();
      if (next.run !== null) {
        this.nowMs = next.atMs;
        next.run();
        await settlePromises();
      }
      [next] = this.heap;
    }
    this.nowMs = untilMs;
  }

  private push(event: Event): void {
    const { heap } = this;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (isBefore(heap[parent] as Event, event)) {
        break;
      }
      heap[index] = heap[parent] as Event;
      index = parent;
    }
    heap[index] = event;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop() as Event;
    if (heap.length > 0) {
      this.sink(last);
    }
  }

  private sink(event: Event): void {
    const { heap } = this;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child + 1 < heap.length && isBefore(heap[child + 1] as Event, heap[child] as Event)) {
        child += 1;
      }
      if (child >= heap.length || !isBefore(heap[child] as Event, event)) {
        break;
      }
      heap[index] = heap[child] as Event;
      index = child;
    }
    heap[index] = event;
  }
}
