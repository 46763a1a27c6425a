/**
 * Estimates what a request costs at each target.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';
import type RankedTarget from '../affinity/RankedTarget.js';
import type SentRequest from '../affinity/SentRequest.js';
import type AttemptResult from '../AttemptResult.js';
import type ChoiceRequest from '../ChoiceRequest.js';

/** Learns from responses. */
interface CostEstimator {
  /** Returns a function that estimates this request at a target, given its place in the order of preference from 0. */
  prepareEstimate(
    request: ChoiceRequest,
    objectKey: string | undefined,
  ): (known: KnownTarget, rank: number) => RankedTarget;
  /** Like `prepareEstimate`, but changes nothing: for descriptions. */
  prepareDescription(
    request: ChoiceRequest,
    objectKey: string | undefined,
  ): (known: KnownTarget, rank: number) => RankedTarget;
  /** Records the response to a request that was sent by the given estimate; the target still counts it as in flight. */
  recordResponse(
    request: ChoiceRequest,
    ranked: RankedTarget,
    sent: SentRequest,
    result: AttemptResult,
  ): void;
}

export default CostEstimator;
