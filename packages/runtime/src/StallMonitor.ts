/**
 * Detects that the process did not run for a while, because it was frozen, starved or busy with one task.
 */
import type Child from './Child.js';
import type Clock from './Clock.js';
import type Logger from './Logger.js';
import waitFor from './waitFor.js';

const CHECK_INTERVAL_MS = 100;
/** Shorter stalls are usual on a busy machine. */
const MIN_STALL_MS = 150;

/** Logs each stall and reports it, in milliseconds, once the process runs again. */
export default class StallMonitor implements Child {
  readonly name = 'stall-monitor';

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onStall: (stalledMs: number) => void,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const dueAtMs = this.clock.getMonotonicMs() + CHECK_INTERVAL_MS;
      await waitFor(this.clock, CHECK_INTERVAL_MS, signal);
      this.checkDelay(this.clock.getMonotonicMs() - dueAtMs);
    }
  }

  private checkDelay(stalledMs: number): void {
    if (stalledMs >= MIN_STALL_MS) {
      this.logger.warn('process stalled', {
        step: 'event loop',
        stalledMs: Math.round(stalledMs),
      });
      this.onStall(stalledMs);
    }
  }
}
