/**
 * Look-ups answered by the ranking of entry VMs.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type EntriesHandler from '@burdockcove/forward/ingress/EntriesHandler';
import type EntriesResponse from '@burdockcove/steering/EntriesResponse';
import type EntriesRanker from '@burdockcove/steering/EntriesRanker';
import type SteeringSource from '@burdockcove/steering/SteeringSource';
import type RequestFailure from '@burdockcove/types/RequestFailure';

const STEP = 'look-up';

/** Tells apart a service that is not known and a process that has no configuration yet. */
export default class RankedEntries implements EntriesHandler {
  constructor(
    private readonly ranker: EntriesRanker,
    private readonly steering: SteeringSource,
  ) {}

  listEntries(service: string, clientAddress: string): Either<RequestFailure, EntriesResponse> {
    const answer = this.ranker.findResponse(service, clientAddress);
    if (isSome(answer)) {
      return right(answer.value);
    }
    const isReady = isSome(this.steering.getCurrent());
    return left({
      _tag: 'NotRun',
      reason: isReady ? 'unknown-service' : 'not-ready',
      step: STEP,
      peer: clientAddress,
      detail: isReady ? `no service is named '${service.slice(0, 40)}'` : 'no configuration yet',
    });
  }
}
