/**
 * Reads the state of the store from other entry VMs.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type PeerError from '@burdockcove/types/PeerError';
import type PeerState from './PeerState.js';

/** Every call ends within its timeout, in milliseconds. */
interface PeerStateReader {
  /** Reads the changes after the revision of the era, or a snapshot if the peer does not keep changes that old. */
  readState(
    address: string,
    afterRevision: number,
    timeoutMs: number,
    era: number,
  ): TaskEither<PeerError, PeerState>;
}

export default PeerStateReader;
