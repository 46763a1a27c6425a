/**
 * Which entry VM to exchange with next.
 */
import type Random from '@burdockcove/runtime/Random';
import type GossipMembership from '../membership/GossipMembership.js';
import type MemberRecord from '../membership/MemberRecord.js';

/** One exchange of this many goes to a VM that counts as unreachable, so that a healed network is noticed. */
const UNREACHABLE_EVERY = 4;

/** Goes round all VMs in random order, so that each is probed within a bounded time. */
export default class ProbeOrder {
  private round: string[] = [];

  private turns = 0;

  constructor(
    private readonly random: Random,
    private readonly membership: GossipMembership,
  ) {}

  /** The next VM, or undefined where none is known. */
  nextMember(): MemberRecord | undefined {
    this.turns += 1;
    const lost = this.turns % UNREACHABLE_EVERY === 0 ? this.pickUnreachable() : undefined;
    return lost ?? this.nextReachable() ?? this.pickUnreachable();
  }

  /** Up to `count` reachable VMs at random, others than the one named. */
  pickOthers(count: number, except: string): readonly MemberRecord[] {
    const others = this.listRecords().filter(
      ({ address, health }) => health !== 'unreachable' && address !== except,
    );
    return this.shuffle(others).slice(0, count);
  }

  /** Up to `count` reachable VMs, each in another failure domain, the own domain last. */
  pickAcrossDomains(count: number): readonly MemberRecord[] {
    const { failureDomain } = this.membership.getSelf();
    const byDomain = new Map<string, MemberRecord>();
    this.pickOthers(Number.MAX_SAFE_INTEGER, '').forEach((record) =>
      byDomain.set(record.failureDomain, record),
    );
    const own = byDomain.get(failureDomain);
    byDomain.delete(failureDomain);
    const others = [...byDomain.values()].slice(0, count);
    return others.length === 0 && own !== undefined ? [own] : others;
  }

  private nextReachable(): MemberRecord | undefined {
    for (let tries = 0; tries < 2; tries += 1) {
      while (this.round.length > 0) {
        const record = this.membership.table.getRow(this.round.pop() ?? '')?.record;
        if (record !== undefined && record.health !== 'unreachable') {
          return record;
        }
      }
      this.round = this.shuffle(this.listRecords().map(({ address }) => address));
    }
    return undefined;
  }

  private pickUnreachable(): MemberRecord | undefined {
    const lost = this.listRecords().filter(({ health }) => health === 'unreachable');
    return lost[this.random.nextInt(Math.max(1, lost.length))];
  }

  private listRecords(): MemberRecord[] {
    return this.membership.table.listRows().map(({ record }) => record);
  }

  private shuffle<A>(items: readonly A[]): A[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index -= 1) {
      const other = this.random.nextInt(index + 1);
      const item = shuffled[index] as A;
      shuffled[index] = shuffled[other] as A;
      shuffled[other] = item;
    }
    return shuffled;
  }
}
