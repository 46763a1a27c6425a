/**
 * Follows the store through other entry VMs while the store does not respond to this one.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type MemberTable from './MemberTable.js';
import type PeerState from './PeerState.js';
import type PeerStateReader from './PeerStateReader.js';
import type StateReplica from './StateReplica.js';

const STEP = 'follow the store through another entry VM';
const READ_INTERVAL_MS = 300;
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
  readonly members: MemberTable;
  readonly reader: PeerStateReader;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** Prefers the peer that responded last, then peers of the own region. */
export default class PeerFollower implements Child {
  readonly name = 'peer-follower';

  private lastPeer: string | null = null;

  private startedAtMs = Infinity;

  /** Whether the current state comes from other VMs. */
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
    if (await this.readFromPeers(signal)) {
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
    return this.dependencies.replica.isStoreSilent() || this.getSilentMs() > SILENT_STORE_MS;
  }

  /** Returns the milliseconds since the store responded, or since this task started. */
  private getSilentMs(): number {
    const { clock, replica } = this.dependencies;
    return Math.min(clock.getMonotonicMs() - this.startedAtMs, replica.stateAge.getAgeMs());
  }

  private async readFromPeers(signal: AbortSignal): Promise<boolean> {
    for (const address of this.listPeers()) {
      if (!signal.aborted && (await this.readFromPeer(address))) {
        return true;
      }
    }
    return false;
  }

  private async readFromPeer(address: string): Promise<boolean> {
    const { clock, reader, replica, logger } = this.dependencies;
    const sentAtMs = clock.getMonotonicMs();
    const read = await reader.readState(address, replica.revision)();
    if (isLeft(read) || read.right.ageMs > MAX_PEER_AGE_MS) {
      const detail = isLeft(read) ? read.left.detail : `its state is ${read.right.ageMs} ms old`;
      logger.info('no state from another entry VM', { step: STEP, peer: address, detail });
      return false;
    }
    this.lastPeer = address;
    this.applyState(address, read.right, sentAtMs);
    return true;
  }

  private applyState(peer: string, state: PeerState, sentAtMs: number): void {
    const { replica, logger } = this.dependencies;
    const { revision, ageMs } = state;
    if (!this.isFollowing) {
      this.isFollowing = true;
      logger.warn('reading the state from another entry VM', {
        step: STEP,
        peer,
        revision,
        ageMs,
      });
      replica.markStoreAvailable();
    }
    replica.applyPeerState(state);
    replica.recordConfirmed(sentAtMs - ageMs);
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
