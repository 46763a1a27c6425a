/**
 * Which entry VMs read the store, and which read the state from those.
 *
 * Two members of each failure domain read the store, chosen by rendezvous hashing over the membership, so that no one
 * has to agree on them: with views that differ for a moment there are more readers or fewer, and a member that finds no
 * reader reads the store itself. So calls to the store grow with failure domains, not with VMs.
 */
import hashText from '@burdockcove/runtime/hashText';
import type FleetMember from './FleetMember.js';
import type MemberTable from './MemberTable.js';
import type WatchTiming from './WatchTiming.js';

const READERS_PER_DOMAIN = 2;
/** Shares of the time in which a change must be applied. */
const READ_INTERVAL_SHARE = 0.15;
const WATCH_SHARE = 0.25;
const PAUSE_SHARE = 0.25;
/** Time for the calls themselves, in milliseconds. */
const CALL_MARGIN_MS = 250;

function computeRank({ name }: FleetMember): number {
  return hashText(`${name} reads the store`);
}

/** Times are in milliseconds. */
export default class ReaderRole {
  /** Reads from readers that have failed since the last one that did not. */
  private failedReads = READERS_PER_DOMAIN;

  constructor(
    private readonly members: MemberTable,
    /** Returns the time in which a change must be applied. */
    private readonly getMaxStateAgeMs: () => number,
  ) {}

  /** Whether this VM reads the state from others of its failure domain. */
  isFollower(): boolean {
    return this.listReaders().every(({ name }) => name !== this.members.self.name);
  }

  /** Whether this VM reads the store now: it is a reader, or no reader has passed on a recent state. */
  shouldReadStore(): boolean {
    return !this.isFollower() || !this.hasReader();
  }

  /** Whether a reader has passed on a recent state lately. */
  hasReader(): boolean {
    return this.failedReads < READERS_PER_DOMAIN;
  }

  /** Returns the addresses at which the readers of the own failure domain pass on the state. */
  listReaderAddresses(): readonly string[] {
    return this.listReaders().flatMap(({ stateAddress }) => stateAddress ?? []);
  }

  /** Returns the interval between two reads from readers, which is also the time for one. */
  getReadIntervalMs(): number {
    return READ_INTERVAL_SHARE * this.getMaxStateAgeMs();
  }

  /** Returns the age up to which a reader's state shows that the store responds to the reader. */
  getMaxReaderAgeMs(): number {
    return (WATCH_SHARE + PAUSE_SHARE) * this.getMaxStateAgeMs() + CALL_MARGIN_MS;
  }

  /** Returns the timing of this VM's own watch, or null if no other VM reads the state from VMs like this one. */
  getSharedTiming(): WatchTiming | null {
    const maxStateAgeMs = this.getMaxStateAgeMs();
    return this.listCandidates().length > READERS_PER_DOMAIN
      ? { waitMs: Math.round(WATCH_SHARE * maxStateAgeMs), pauseMs: PAUSE_SHARE * maxStateAgeMs }
      : null;
  }

  /** Records whether a reader has passed on a recent state. */
  recordRead(hasSucceeded: boolean): void {
    this.failedReads = hasSucceeded ? 0 : this.failedReads + 1;
  }

  private listReaders(): readonly FleetMember[] {
    return [...this.listCandidates()]
      .sort((a, b) => computeRank(a) - computeRank(b))
      .slice(0, READERS_PER_DOMAIN);
  }

  /** A member without an address for it cannot pass on the state, as one of an older version. */
  private listCandidates(): readonly FleetMember[] {
    const { failureDomain, name: ownName } = this.members.self;
    return this.members
      .listMembers()
      .filter((member) => member.failureDomain === failureDomain)
      .filter(({ name, stateAddress }) => name === ownName || stateAddress !== undefined);
  }
}
