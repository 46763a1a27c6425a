/**
 * Look-ups of entry VMs.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type EntriesAnswer from '@burdockcove/steering/EntriesAnswer';
import type RequestFailure from '@burdockcove/types/RequestFailure';

/** Ranks the entry VMs for a client; an unknown service is a `NotRun` failure. */
interface EntriesHandler {
  listEntries(service: string, clientAddress: string): Either<RequestFailure, EntriesAnswer>;
}

export default EntriesHandler;
