/**
 * How much traffic really moved in a simulation.
 */
import type Route from '@burdockcove/types/Route';
import computeMovedShare from '@burdockcove/shares/shift/computeMovedShare';

interface Snapshot {
  readonly atMs: number;
  readonly routes: ReadonlyMap<string, readonly Route[]>;
}

function isSending(routes: readonly Route[]): boolean {
  return routes.some((route) => route.weight > 0);
}

/** Keeps the weights in force at each entry VM and the largest move within any window. */
export default class ShiftTruth {
  private snapshots: readonly Snapshot[] = [];

  private largestMove = 0;

  constructor(private readonly windowMs: number) {}

  /** Notes the weights in force at every entry VM from this time on; each has an equal part of the traffic. */
  noteRoutes(atMs: number, routes: ReadonlyMap<string, readonly Route[]>): void {
    const oldestMs = atMs - this.windowMs;
    this.snapshots = this.snapshots.filter(
      (_snapshot, index) => (this.snapshots[index + 1]?.atMs ?? Infinity) > oldestMs,
    );
    for (const snapshot of this.snapshots) {
      this.largestMove = Math.max(this.largestMove, ShiftTruth.measureFleetMove(snapshot, routes));
    }
    this.snapshots = [...this.snapshots, { atMs, routes }];
  }

  /** Largest share of the traffic, 0 to 1, that changed its route within a window. */
  getLargestMove(): number {
    return this.largestMove;
  }

  private static measureFleetMove(
    before: Snapshot,
    after: ReadonlyMap<string, readonly Route[]>,
  ): number {
    const moves = [...after].map(([address, routes]) => {
      const old = before.routes.get(address);
      // Without weights nothing is sent, so nothing moves.
      return old !== undefined && isSending(old) && isSending(routes)
        ? computeMovedShare(old, routes)
        : 0;
    });
    return moves.reduce((sum, move) => sum + move, 0) / Math.max(1, moves.length);
  }
}
