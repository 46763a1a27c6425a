/**
 * The objects that a target has recently handled for this VM, and so handles faster.
 */
import type Clock from '@burdockcove/runtime/Clock';

/** Objects remembered per target; the least recently handled one is evicted first. */
const MAX_OBJECTS = 32;
/** Time after which an object no longer counts as warm. */
const WARM_TTL_MS = 30_000;

/** A least-recently-used list, like the caches of the targets themselves. */
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
    return atMs !== undefined && this.clock.getMonotonicMs() - atMs < WARM_TTL_MS;
  }

  /** Removes all objects, as a restart of the target does. */
  clear(): void {
    this.handledAtMs.clear();
  }
}
