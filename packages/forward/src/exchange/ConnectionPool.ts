/**
 * Pool of the connections to one target.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type ForwardMetrics from '../ForwardMetrics.js';
import HeadLatency from './HeadLatency.js';
import TargetConnection from './TargetConnection.js';

/** Longest time since the target was last heard on a connection that may carry a request that must not be repeated. */
const MAX_UNCONFIRMED_MS = 1000;

type Waiter = () => void;

/** Reuses the most recently used connection first. At the limit, requests wait in the order of their arrival. */
export default class ConnectionPool {
  /** Latency until the head of this target's responses. */
  readonly latency: HeadLatency;

  private idle: TargetConnection[] = [];

  private readonly busy = new Set<TargetConnection>();

  private readonly waiters = new Set<Waiter>();

  /** Parsed with the first connection. */
  private origin: URL | null = null;

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
   * Returns a connection that may carry the request, or null if the limit is reached. With `mustBeConfirmed`, reuses a
   * connection only if the target was recently heard on it, and opens a new one otherwise.
   */
  acquire(limit: number, mustBeConfirmed: boolean, requestId: string): TargetConnection | null {
    const reusable = this.takeReusable(mustBeConfirmed, requestId);
    if (reusable) {
      this.busy.add(reusable);
      return reusable;
    }
    if (this.countOpen() >= limit && !this.closeOldestIdle()) {
      return null;
    }
    return this.open();
  }

  /** Calls the waiter once a connection may be free; returns a function that cancels the wait. */
  waitForFree(waiter: Waiter): () => void {
    this.waiters.add(waiter);
    return () => this.waiters.delete(waiter);
  }

  /** Returns a connection to the pool; closes it if its exchange did not end cleanly. */
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

  /** Closes idle connections on which nothing was received after the given time; returns their number. */
  closeIdleUnconfirmed(sinceMs: number): number {
    const before = this.idle.length;
    const suspects = this.idle.filter((connection) => connection.confirmedAtMs <= sinceMs);
    this.idle = this.idle.filter((connection) => connection.confirmedAtMs > sinceMs);
    suspects.forEach((connection) => connection.close());
    return before - this.idle.length;
  }

  /** Closes all idle connections. */
  closeIdle(): void {
    this.closeIdleUnconfirmed(Infinity);
  }

  private takeReusable(mustBeConfirmed: boolean, requestId: string): TargetConnection | undefined {
    const index = this.idle.findLastIndex((connection) => connection.mayCarry(requestId));
    const last = this.idle[index];
    const confirmedSinceMs = this.clock.getMonotonicMs() - MAX_UNCONFIRMED_MS;
    if (last === undefined || (mustBeConfirmed && last.confirmedAtMs < confirmedSinceMs)) {
      return undefined;
    }
    this.idle.splice(index, 1);
    return last;
  }

  private closeOldestIdle(): boolean {
    const oldest = this.idle.shift();
    oldest?.close();
    return oldest !== undefined;
  }

  private open(): TargetConnection {
    this.origin ??= new URL(`http://${this.address}`);
    const connection = new TargetConnection(this.origin, this.clock, (closed) =>
      this.removeClosed(closed),
    );
    this.busy.add(connection);
    this.metrics.recordOpenedConnection();
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
