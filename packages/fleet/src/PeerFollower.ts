/**
 * Follows the store through other entry VMs while the store does not respond to this one.
 */
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type MemberTable from './MemberTable.js';
import type PeerReads from './PeerReads.js';
import type ReaderRole from './ReaderRole.js';
import type StateReplica from './StateReplica.js';

const STEP = 'follow the store through another entry VM';
const READ_INTERVAL_MS = 300;
const READ_TIMEOUT_MS = 800;
/** Pauses between two looks whether the store responds. */
const MIN_IDLE_PAUSE_MS = 100;
const MAX_IDLE_PAUSE_MS = 1000;
/** Pause after a round in which no peer had a recent state; the store is then probably unavailable to all. */
const FAILED_ROUND_PAUSE_MS = 1000;
/** Peers asked in one round. */
const PEERS_PER_ROUND = 3;
/** A watch responds within two seconds and is renewed within one; an older state means that the store is silent. */
const SILENT_STORE_MS = 3000;
/** A peer with an older state knows no more of the present than this VM. */
const MAX_PEER_AGE_MS = 3500;

interface PeerFollowerDependencies {
  readonly replica: StateReplica;
  readonly role: ReaderRole;
  readonly reads: PeerReads;
  readonly members: MemberTable;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** Prefers the peer that responded last, then peers of the own region. */
export default class PeerFollower implements Child {
  readonly name = 'peer-follower';

  private lastPeer: string | null = null;

  private startedAtMs = Infinity;

  /** Whether the current state comes from other VMs because the store does not respond. */
  private isFollowing = false;

  constructor(private readonly dependencies: PeerFollowerDependencies) {}

  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.dependencies;
    this.startedAtMs = clock.getMonotonicMs();
    while (!signal.aborted) {
      await waitFor(clock, await this.runRound(signal), signal);
    }
  }

  /** Returns the milliseconds until the next round. */
  private async runRound(signal: AbortSignal): Promise<number> {
    if (!this.isStoreSilent()) {
      this.isFollowing = false;
      return this.computeIdlePauseMs();
    }
    const peer = await this.readFromPeers(signal);
    if (peer !== null) {
      this.recordFollowing(peer);
      return READ_INTERVAL_MS;
    }
    if (this.isFollowing) {
      this.isFollowing = false;
      this.dependencies.replica.markStoreUnavailable();
    }
    return FAILED_ROUND_PAUSE_MS;
  }

  /** Returns the time until the store may count as silent, within bounds. */
  private computeIdlePauseMs(): number {
    return Math.min(
      MAX_IDLE_PAUSE_MS,
      Math.max(MIN_IDLE_PAUSE_MS, SILENT_STORE_MS - this.getSilentMs()),
    );
  }

  private isStoreSilent(): boolean {
    const { replica, role } = this.dependencies;
    const hasFailed = replica.isStoreSilent() && !role.hasReader();
    return hasFailed || this.getSilentMs() > SILENT_STORE_MS;
  }

  /** Returns the milliseconds since the store responded, or since this task started. */
  private getSilentMs(): number {
    const { clock, replica } = this.dependencies;
    return Math.min(clock.getMonotonicMs() - this.startedAtMs, replica.stateAge.getAgeMs());
  }

  /** Resolves with the address of the peer that had a recent state, or null. */
  private async readFromPeers(signal: AbortSignal): Promise<string | null> {
    const { reads } = this.dependencies;
    for (const address of this.listPeers()) {
      const read = { address, maxAgeMs: MAX_PEER_AGE_MS, timeoutMs: READ_TIMEOUT_MS };
      if (!signal.aborted && (await reads.read(read))) {
        return address;
      }
    }
    return null;
  }

  private recordFollowing(peer: string): void {
    const { replica, logger } = this.dependencies;
    this.lastPeer = peer;
    if (!this.isFollowing) {
      this.isFollowing = true;
      const { revision } = replica;
      const ageMs = Math.round(replica.stateAge.getAgeMs());
      logger.warn('reading the state from another entry VM', { step: STEP, peer, revision, ageMs });
      replica.markStoreAvailable();
    }
  }

  private listPeers(): readonly string[] {
    const { members, random } = this.dependencies;
    return members
      .listMembers()
      .filter(({ name }) => name !== members.self.name)
      .flatMap(({ stateAddress: address, region }) => {
        if (address === undefined) {
          return [];
        }
        const isLast = address === this.lastPeer;
        const isNear = region === members.self.region;
        return [{ address, rank: Number(isLast) * 2 + Number(isNear) + random.nextFloat() }];
      })
      .sort((a, b) => b.rank - a.rank)
      .slice(0, PEERS_PER_ROUND)
      .map(({ address }) => address);
  }
}
