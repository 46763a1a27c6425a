/**
 * Which entry VMs applied a shift's record.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type Member from '@burdockcove/types/Member';
import type Clock from '@burdockcove/runtime/Clock';
import type ShareTransport from '../ShareTransport.js';

/** Calls under way at once. */
const MAX_CALLS = 16;

/** Collected anew for each revision of the record. */
export default class ShiftConfirmations {
  private readonly confirmedAtMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly transport: ShareTransport,
    readonly selector: string,
    readonly revision: number,
  ) {}

  /** Asks the entry VMs; one that does not answer, or went back, counts as not confirmed. */
  async askMembers(members: readonly Member[]): Promise<void> {
    const waiting = [...members];
    const work = async (): Promise<void> => {
      for (let member = waiting.pop(); member !== undefined; member = waiting.pop()) {
        await this.askMember(member);
      }
    };
    await Promise.all(Array.from({ length: MAX_CALLS }, work));
  }

  listUnconfirmed(members: readonly Member[]): readonly Member[] {
    return members.filter((member) => !this.confirmedAtMs.has(member.address));
  }

  /** Monotonic time since which all of the entry VMs have confirmed; undefined where one has not. */
  getConfirmedAtMs(members: readonly Member[]): number | undefined {
    const times = members.map((member) => this.confirmedAtMs.get(member.address) ?? Infinity);
    const latest = Math.max(...times);
    return latest === Infinity ? undefined : latest;
  }

  private async askMember(member: Member): Promise<void> {
    const answer = await this.transport.readShift(member.peerAddress, this.selector)();
    if (!isRight(answer) || answer.right < this.revision) {
      this.confirmedAtMs.delete(member.address);
    } else if (!this.confirmedAtMs.has(member.address)) {
      this.confirmedAtMs.set(member.address, this.clock.getMonotonicMs());
    }
  }
}
