/**
 * Candidates for a role by rendezvous hash.
 */
import type Membership from '@burdockcove/types/Membership';
import chooseByRendezvous from '../membership/chooseByRendezvous.js';
import type RoleCandidacy from './RoleCandidacy.js';

const CANDIDATES_PER_ROLE = 3;

/** A few live VMs for each role, of the named region only unless it is empty, so that few ask the store. */
export default class RendezvousCandidacy implements RoleCandidacy {
  constructor(
    private readonly membership: Membership,
    private readonly region: string,
    /** Whether this VM knows the others; one that has just started would take itself for the only one. */
    private readonly isInformed: () => boolean,
  ) {}

  isCandidate(role: string): boolean {
    if (!this.isInformed()) {
      return false;
    }
    const { address } = this.membership.getSelf();
    const members = this.membership
      .getMembers()
      .filter(
        ({ state, reachable, region }) =>
          state === 'live' && reachable && (this.region === '' || region === this.region),
      );
    return chooseByRendezvous(role, members, CANDIDATES_PER_ROLE).some(
      (member) => member.address === address,
    );
  }

  getHolder(): string {
    return this.membership.getSelf().address;
  }
}
