/**
 * Tracks which entry VMs have applied a shift record.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type Member from '@burdockcove/types/Member';
import type Clock from '@burdockcove/runtime/Clock';
import type ShareTransport from '../ShareTransport.js';

const MAX_CONCURRENT_CALLS = 16;

/** Created anew for each revision of the record. */
export default class ShiftConfirmations {
  private readonly confirmedAtMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly transport: ShareTransport,
    readonly selector: string,
    readonly revision: number,
  ) {}

  /**
   * Polls the entry VMs. One that does not respond, or reports an older revision, counts as
   * unconfirmed.
   */
  async pollMembers(members: readonly Member[]): Promise<void> {
    const pending = [...members];
    const runWorker = async (): Promise<void> => {
      for (let member = pending.pop(); member !== undefined; member = pending.pop()) {
        await this.pollMember(member);
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT_CALLS }, runWorker));
  }

  listUnconfirmed(members: readonly Member[]): readonly Member[] {
    return members.filter((member) => !this.confirmedAtMs.has(member.address));
  }

  /** Monotonic time since which all of the entry VMs have confirmed; undefined if any has not. */
  getConfirmedAtMs(members: readonly Member[]): number | undefined {
    const confirmationTimes = members.map(
      (member) => this.confirmedAtMs.get(member.address) ?? Infinity,
    );
    const latest = Math.max(...confirmationTimes);
    return latest === Infinity ? undefined : latest;
  }

  private async pollMember(member: Member): Promise<void> {
    const response = await this.transport.readShift(member.peerAddress, this.selector)();
    if (!isRight(response) || response.right < this.revision) {
      this.confirmedAtMs.delete(member.address);
    } else if (!this.confirmedAtMs.has(member.address)) {
      this.confirmedAtMs.set(member.address, this.clock.getMonotonicMs());
    }
  }
}
