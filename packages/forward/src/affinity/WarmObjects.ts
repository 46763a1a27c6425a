/**
 * Which objects a target has lately handled for this VM, and so handles faster.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Objects remembered of one target, most lately handled first to stay. */
const MAX_OBJECTS = 32;
/** Time after which an object counts as forgotten, in milliseconds. */
const FORGET_AFTER_MS = 30_000;

/** A least-recently-used list, as targets keep it themselves. */
export default class WarmObjects {
  private readonly handledAtMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  record(objectKey: string): void {
    this.handledAtMs.delete(objectKey);
    this.handledAtMs.set(objectKey, this.clock.getMonotonicMs());
    if (this.handledAtMs.size > MAX_OBJECTS) {
      const [oldest] = this.handledAtMs.keys();
      this.handledAtMs.delete(oldest as string);
    }
  }

  has(objectKey: string): boolean {
    const atMs = this.handledAtMs.get(objectKey);
    return atMs !== undefined && this.clock.getMonotonicMs() - atMs < FORGET_AFTER_MS;
  }

  /** Forgets all, as a target does that starts anew. */
  clear(): void {
    this.handledAtMs.clear();
  }
}
