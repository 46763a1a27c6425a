/**
 * Record of the fleet's size in the store.
 *
 * Leases may expire all at once, in an outage of the store for example. A VM that starts then sees few members or none,
 * and the record tells it by how many VMs the limits of the whole fleet are divided.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import type MemberTable from './MemberTable.js';
import type StateAge from './StateAge.js';

const STEP = 'record the size of the fleet';
const CHECK_INTERVAL_MS = 4000;
/** Age of the state from which on this VM does not judge the size of the fleet. */
const MAX_STATE_AGE_MS = 3500;
/** Time after the start from which on a VM has seen the whole fleet and may lower the record. */
const MIN_OBSERVATION_MS = 60_000;

/** A lower size that the store came back with counts as one to write again. Written by the first member by name; a second writer is harmless, since writes are conditional. */
export default class FleetSizeRecorder implements Child {
  readonly name = 'fleet-size-recorder';

  private startedAtMs = Infinity;

  constructor(
    private readonly store: Store,
    private readonly key: string,
    private readonly members: MemberTable,
    private readonly stateAge: StateAge,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    this.startedAtMs = this.clock.getMonotonicMs();
    while (!signal.aborted) {
      await waitFor(this.clock, CHECK_INTERVAL_MS, signal);
      const size = this.computeSize();
      if (!signal.aborted && size !== this.members.getRecord().size && this.isWriter()) {
        await this.writeSize(size);
      }
    }
  }

  /** Returns the size to record: a larger one at once, a smaller one only after a long look at the fleet. */
  private computeSize(): number {
    const size = this.members.getRecordedSize();
    const observedMs = this.clock.getMonotonicMs() - this.startedAtMs;
    const seen = this.members.getSeenPeak();
    return observedMs >= MIN_OBSERVATION_MS ? seen : Math.max(seen, size);
  }

  private isWriter(): boolean {
    const { self } = this.members;
    const isFirst = this.members.listMembers().every(({ name }) => name >= self.name);
    return isFirst && this.stateAge.getAgeMs() <= MAX_STATE_AGE_MS;
  }

  private async writeSize(size: number): Promise<void> {
    const { revision } = this.members.getRecord();
    const written = await this.store.commitTransaction({
      compares: [{ key: this.key, revision }],
      puts: [{ key: this.key, value: JSON.stringify({ members: size }) }],
      deletes: [],
    })();
    if (isLeft(written)) {
      const { detail, peer, _tag: kind } = written.left;
      this.logger.warn('failed to record the size of the fleet', {
        step: STEP,
        peer,
        kind,
        detail,
      });
      return;
    }
    const { committed } = written.right;
    this.logger.info('size of the fleet recorded', { step: STEP, members: size, committed });
  }
}
