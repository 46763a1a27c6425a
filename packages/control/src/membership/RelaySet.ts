/**
 * Which entry VMs watch the store for the others.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Member from '@burdockcove/types/Member';
import type RelayRole from '../replica/RelayRole.js';
import type GossipMembership from './GossipMembership.js';
import chooseByRendezvous from './chooseByRendezvous.js';

const RELAYS_PER_DOMAIN = 2;
/** After this long without a VM list or a peer, a VM asks the store by itself, in milliseconds. */
const ALONE_AFTER_MS = 10_000;

/** A few members of each failure domain by rendezvous hash; more than needed does no harm. */
export default class RelaySet implements RelayRole {
  private readonly startedMs: number;

  private members: readonly Member[] | undefined;

  private readonly relays = new Map<string, readonly Member[]>();

  constructor(
    private readonly clock: Clock,
    private readonly membership: GossipMembership,
  ) {
    this.startedMs = clock.getMonotonicMs();
  }

  /** Whether this VM watches the store; never before it knows other VMs or a VM list. */
  isRelay(): boolean {
    const { address, failureDomain } = this.membership.getSelf();
    const isInformed = this.membership.hasList() || this.membership.table.count() > 0;
    return isInformed && this.listRelays(failureDomain).some((relay) => relay.address === address);
  }

  /** Whether this VM knows of no other, and has not for a while. */
  isAlone(): boolean {
    const isInformed = this.membership.hasList() || this.membership.table.count() > 0;
    return !isInformed && this.clock.getMonotonicMs() - this.startedMs > ALONE_AFTER_MS;
  }

  /** Relays to follow, best first: those of this VM's failure domain, then those of the others. */
  listSources(): readonly Member[] {
    const { address, failureDomain, region } = this.membership.getSelf();
    const domains = new Map(
      this.membership.getMembers().map((member) => [member.failureDomain, member.region]),
    );
    const near = (domain: string): number => Number(domains.get(domain) !== region);
    const others = [...domains.keys()]
      .filter((domain) => domain !== failureDomain)
      .sort((a, b) => near(a) - near(b));
    return [failureDomain, ...others]
      .flatMap((domain) => chooseByRendezvous(address, this.listRelays(domain), RELAYS_PER_DOMAIN))
      .filter((relay) => relay.address !== address);
  }

  private listRelays(failureDomain: string): readonly Member[] {
    const members = this.membership.getMembers();
    if (members !== this.members) {
      this.members = members;
      this.relays.clear();
    }
    const known = this.relays.get(failureDomain);
    if (known !== undefined) {
      return known;
    }
    const candidates = members.filter(
      (member) =>
        member.failureDomain === failureDomain && member.reachable && member.state === 'live',
    );
    const relays = chooseByRendezvous(failureDomain, candidates, RELAYS_PER_DOMAIN);
    this.relays.set(failureDomain, relays);
    return relays;
  }
}
