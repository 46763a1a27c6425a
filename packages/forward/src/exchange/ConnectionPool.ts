/**
 * The connections to one target.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type ForwardMetrics from '../ForwardMetrics.js';
import HeadLatency from './HeadLatency.js';
import TargetConnection from './TargetConnection.js';

/** A connection heard from this lately may carry a request that must not be repeated. */
const MAX_UNCONFIRMED_MS = 1000;

type Waiter = () => void;

/** Lends connections, most lately used first, up to a limit; a request beyond it waits in order. */
export default class ConnectionPool {
  /** How long this target usually takes. */
  readonly latency: HeadLatency;

  private idle: TargetConnection[] = [];

  private readonly busy = new Set<TargetConnection>();

  private readonly waiters = new Set<Waiter>();

  constructor(
    readonly address: string,
    private readonly clock: Clock,
    private readonly metrics: ForwardMetrics,
  ) {
    this.latency = new HeadLatency(clock);
  }

  countOpen(): number {
    return this.idle.length + this.busy.size;
  }

  /**
   * Lends a connection, or null where the limit is reached. With `mustBeProven`, one that the target was
   * lately heard on, or a new one.
   */
  acquire(limit: number, mustBeConfirmed: boolean): TargetConnection | null {
    const reusable = this.findReusable(mustBeConfirmed);
    if (reusable) {
      this.busy.add(reusable);
      return reusable;
    }
    if (this.countOpen() >= limit && !this.closeOldestIdle()) {
      return null;
    }
    return this.open();
  }

  /** Calls back once a connection may be free; returns the way to stop waiting. */
  waitForFree(waiter: Waiter): () => void {
    this.waiters.add(waiter);
    return () => this.waiters.delete(waiter);
  }

  /** Takes a connection back; one whose exchange did not end cleanly is closed. */
  release(connection: TargetConnection, clean: boolean): void {
    if (!this.busy.delete(connection)) {
      return;
    }
    if (clean) {
      this.idle.push(connection);
    } else {
      connection.close();
    }
    this.callNextWaiter();
  }

  /** Closes idle connections that were not heard from since the time given; returns how many. */
  closeIdleUnconfirmed(sinceMs: number): number {
    const before = this.idle.length;
    const suspects = this.idle.filter((connection) => connection.confirmedAtMs <= sinceMs);
    this.idle = this.idle.filter((connection) => connection.confirmedAtMs > sinceMs);
    suspects.forEach((connection) => connection.close());
    return before - this.idle.length;
  }

  /** Closes every idle connection. */
  closeIdle(): void {
    this.closeIdleUnconfirmed(Infinity);
  }

  private findReusable(mustBeProven: boolean): TargetConnection | undefined {
    const last = this.idle[this.idle.length - 1];
    const provenSinceMs = this.clock.getMonotonicMs() - MAX_UNCONFIRMED_MS;
    if (last === undefined || (mustBeProven && last.confirmedAtMs < provenSinceMs)) {
      return undefined;
    }
    return this.idle.pop();
  }

  private closeOldestIdle(): boolean {
    const oldest = this.idle.shift();
    oldest?.close();
    return oldest !== undefined;
  }

  private open(): TargetConnection {
    const connection = new TargetConnection(this.address, this.clock, (closed) =>
      this.removeClosed(closed),
    );
    this.busy.add(connection);
    this.metrics.recordOpened();
    return connection;
  }

  private removeClosed(connection: TargetConnection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) {
      this.idle.splice(index, 1);
      connection.close();
      this.callNextWaiter();
    }
  }

  private callNextWaiter(): void {
    const [next] = this.waiters;
    if (next) {
      this.waiters.delete(next);
      next();
    }
  }
}
