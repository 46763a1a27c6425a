/**
 * Virtual time shared by all VMs of a simulation, in whole milliseconds.
 */
import { setImmediate } from 'node:timers/promises';
import type Timer from '@burdockcove/runtime/Timer';

/** Runs promises between two moments. */
export default class VirtualTime {
  nowMs = 0;

  private readonly due = new Map<number, Set<() => void>>();

  startTimer(delayMs: number, run: () => void): Timer {
    const atMs = Math.max(this.nowMs + 1, Math.ceil(this.nowMs + delayMs));
    const actions = this.due.get(atMs) ?? new Set();
    const action = (): void => run();
    actions.add(action);
    this.due.set(atMs, actions);
    return { cancel: () => actions.delete(action) };
  }

  async advance(ms: number): Promise<void> {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      const actions = this.due.get(this.nowMs);
      if (actions !== undefined) {
        this.due.delete(this.nowMs);
        actions.forEach((run) => run());
        await setImmediate();
      }
    }
  }
}
