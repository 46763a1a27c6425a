/**
 * Supervisor that starts children in order, restarts failed ones, and stops all in reverse order.
 */
import type Child from './Child.js';
import type Clock from './Clock.js';
import type Logger from './Logger.js';
import waitFor from './waitFor.js';

const INITIAL_BACKOFF_MS = 100;
/** Short, so that an address that is free again is taken soon. */
const MAX_BACKOFF_MS = 1000;
const BACKOFF_RESET_AFTER_MS = 30_000;

/** A supervisor is itself a child, so supervisors form a tree. */
export default class Supervisor implements Child {
  private readonly running: { child: Child; abort: AbortController; done: Promise<void> }[] = [];

  constructor(
    readonly name: string,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly children: readonly Child[],
  ) {}

  /** Runs until the signal is aborted, then until every child has ended. */
  async run(signal: AbortSignal): Promise<void> {
    this.children.forEach((child) => this.startChild(child));
    await new Promise<void>((resolve) => {
      if (signal.aborted) {
        resolve();
      }
      signal.addEventListener('abort', () => resolve(), { once: true });
    });
    await this.stopChildren();
  }

  private startChild(child: Child): void {
    const abort = new AbortController();
    this.running.push({ child, abort, done: this.runWithRestarts(child, abort.signal) });
  }

  private async stopChildren(): Promise<void> {
    for (const entry of this.running.reverse()) {
      entry.abort.abort();
      await entry.done;
    }
  }

  private async runWithRestarts(child: Child, signal: AbortSignal): Promise<void> {
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      const startedMs = this.clock.getMonotonicMs();
      try {
        await child.run(signal);
        if (!signal.aborted) {
          this.logger.warn('child ended unexpectedly', { step: child.name, peer: this.name });
        }
      } catch (error) {
        this.logger.error('child failed', {
          step: child.name,
          peer: this.name,
          error: String(error),
        });
      }
      const ranMs = this.clock.getMonotonicMs() - startedMs;
      backoffMs =
        ranMs > BACKOFF_RESET_AFTER_MS
          ? INITIAL_BACKOFF_MS
          : Math.min(backoffMs * 2, MAX_BACKOFF_MS);
      await waitFor(this.clock, backoffMs, signal);
    }
  }
}
