/**
 * Handler of look-ups of entry VMs.
 */
import type { Either } from 'fp-ts/lib/Either.js';
import type EntriesResponse from '@burdockcove/steering/EntriesResponse';
import type RequestFailure from '@burdockcove/types/RequestFailure';

/** Ranks the entry VMs for a client; returns a `NotRun` failure for an unknown service. */
interface EntriesHandler {
  listEntries(service: string, clientAddress: string): Either<RequestFailure, EntriesResponse>;
}

export default EntriesHandler;
