/**
 * Reads of the state from single entry VMs.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type PeerState from './PeerState.js';
import type PeerStateReader from './PeerStateReader.js';
import type StateReplica from './StateReplica.js';

const STEP = 'read the state from another entry VM';

interface PeerReadsDependencies {
  readonly replica: StateReplica;
  readonly reader: PeerStateReader;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Times are in milliseconds. */
interface PeerRead {
  readonly address: string;
  /** An older state is not applied. */
  readonly maxAgeMs: number;
  readonly timeoutMs: number;
}

/** Applies what is read to the replica of this VM. */
export default class PeerReads {
  constructor(private readonly dependencies: PeerReadsDependencies) {}

  /** Resolves with true if the VM has passed on a state that is recent enough. */
  async read({ address, maxAgeMs, timeoutMs }: PeerRead): Promise<boolean> {
    const { clock, reader, replica, logger } = this.dependencies;
    const sentAtMs = clock.getMonotonicMs();
    const { revision, era } = replica;
    const read = await reader.readState(address, revision, timeoutMs, era)();
    const refusal = isLeft(read) ? read.left.detail : this.apply(read.right, maxAgeMs);
    if (isLeft(read) || refusal !== null) {
      logger.info('no state from another entry VM', { step: STEP, peer: address, detail: refusal });
      return false;
    }
    const { ageMs, verifiedAgeMs } = read.right;
    replica.recordConfirmed(sentAtMs - ageMs);
    if (verifiedAgeMs !== undefined) {
      replica.recordVerified(sentAtMs - verifiedAgeMs);
    }
    return true;
  }

  /** Returns null if the state has been applied, else the reason why not. */
  private apply(state: PeerState, maxAgeMs: number): string | null {
    if (state.ageMs > maxAgeMs) {
      return `its state is ${Math.round(state.ageMs)} ms old`;
    }
    if (this.dependencies.replica.applyPeerState(state)) {
      return null;
    }
    return state.era === undefined
      ? 'it does not tell the era of its state'
      : `its state is of era ${state.era} of the store, which does not fit in`;
  }
}
