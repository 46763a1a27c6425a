/**
 * Reads the state of the store from other entry VMs.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type PeerError from '@burdockcove/types/PeerError';
import type PeerState from './PeerState.js';

/** Every call ends within the adapter's timeout. */
interface PeerStateReader {
  /** Reads the changes after the revision, or a snapshot if the peer does not keep changes that old. */
  readState(address: string, afterRevision: number): TaskEither<PeerError, PeerState>;
}

export default PeerStateReader;
