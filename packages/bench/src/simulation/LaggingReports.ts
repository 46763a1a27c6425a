/**
 * Load reports that lag.
 */
import { left, right } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type Random from '@burdockcove/runtime/Random';
import type TargetLoad from '@burdockcove/targets/TargetLoad';
import type TargetReports from '@burdockcove/targets/TargetReports';
import type PeerError from '@burdockcove/types/PeerError';
import type SimulatedTarget from './SimulatedTarget.js';

const MIN_LAG_MS = 1_000;
const MAX_LAG_MS = 5_000;

/** Each report tells the load of one to five seconds ago. */
export default class LaggingReports implements TargetReports {
  constructor(
    private readonly random: Random,
    private readonly targets: ReadonlyMap<string, SimulatedTarget>,
  ) {}

  readHealth(): TaskEither<PeerError, boolean> {
    return () => Promise.resolve(right(true));
  }

  readLoad(address: string): TaskEither<PeerError, TargetLoad> {
    const target = this.targets.get(address);
    const lagMs = MIN_LAG_MS + (MAX_LAG_MS - MIN_LAG_MS) * this.random.nextFloat();
    if (target === undefined) {
      const detail = 'no such target';
      return () =>
        Promise.resolve(
          left({ _tag: 'PeerUnreachable', step: 'poll', peer: address, detail } as const),
        );
    }
    const { slots } = target.options.target;
    const inFlight = target.readInFlight(lagMs);
    return () => Promise.resolve(right({ inFlight, slots, draining: false }));
  }
}
