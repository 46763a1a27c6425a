/**
 * Connection pools by target address.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type ForwardMetrics from '../ForwardMetrics.js';
import ConnectionPool from './ConnectionPool.js';

/** Number of pools from which on empty pools are removed. */
const MAX_POOLS = 4096;

/** Keeps one pool for each address. */
export default class ConnectionPools {
  private readonly pools = new Map<string, ConnectionPool>();

  constructor(
    private readonly clock: Clock,
    private readonly metrics: ForwardMetrics,
  ) {
    metrics.watchOpenConnections(() => this.countOpen());
  }

  getPool(address: string): ConnectionPool {
    const known = this.pools.get(address);
    return known ?? this.addPool(address);
  }

  /** Returns the number of connections to all targets. */
  countOpen(): number {
    let open = 0;
    this.pools.forEach((pool) => {
      open += pool.countOpen();
    });
    return open;
  }

  /** Closes the idle connections to all targets. */
  closeIdle(): void {
    this.pools.forEach((pool) => pool.closeIdle());
  }

  private addPool(address: string): ConnectionPool {
    if (this.pools.size >= MAX_POOLS) {
      this.pools.forEach((pool, key) => pool.countOpen() === 0 && this.pools.delete(key));
    }
    const pool = new ConnectionPool(address, this.clock, this.metrics);
    this.pools.set(address, pool);
    return pool;
  }
}
