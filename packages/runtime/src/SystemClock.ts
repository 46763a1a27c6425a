/**
 * The system clock.
 */
import { performance } from 'node:perf_hooks';
import type Clock from './Clock.js';
import type Timer from './Timer.js';

/** Reads the system clocks and uses the event loop's timers, which do not keep the process alive. */
export default class SystemClock implements Clock {
  getMonotonicMs(): number {
    return performance.now();
  }

  getWallMs(): number {
    return Date.now();
  }

  startTimer(delayMs: number, run: () => void): Timer {
    const handle = setTimeout(run, delayMs);
    handle.unref();
    return { cancel: () => clearTimeout(handle) };
  }
}
