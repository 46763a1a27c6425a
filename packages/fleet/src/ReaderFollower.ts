/**
 * Follows the store through the entry VMs of the own failure domain that read it.
 */
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import waitFor from '@burdockcove/runtime/waitFor';
import type PeerReads from './PeerReads.js';
import type ReaderRole from './ReaderRole.js';

/** Pause before the next reader is asked after one that failed. */
const FAILURE_PAUSE_MS = 50;
/** How often a VM that reads the store looks whether it still has to. */
const ROLE_INTERVAL_MS = 1000;

/** Asks the readers in turn, so that one that is lost or lags costs every second read and no more. */
export default class ReaderFollower implements Child {
  readonly name = 'reader-follower';

  private turn = 0;

  constructor(
    private readonly role: ReaderRole,
    private readonly reads: PeerReads,
    private readonly clock: Clock,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await waitFor(this.clock, await this.runRound(), signal);
    }
  }

  /** Returns the milliseconds until the next round. */
  private async runRound(): Promise<number> {
    const { role } = this;
    if (!role.isFollower()) {
      return ROLE_INTERVAL_MS;
    }
    const addresses = role.listReaderAddresses();
    this.turn = (this.turn + 1) % addresses.length;
    const isRead = await this.reads.read({
      address: addresses[this.turn] as string,
      maxAgeMs: role.getMaxReaderAgeMs(),
      timeoutMs: role.getReadIntervalMs(),
    });
    role.recordRead(isRead);
    return isRead ? role.getReadIntervalMs() : FAILURE_PAUSE_MS;
  }
}
