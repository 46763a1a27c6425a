/**
 * A steady flow of one kind of request.
 */
import type CallerRequest from '../caller/CallerRequest.js';

/** Sent open-loop: the next request does not wait for the answer to the last. */
interface TrafficFlow {
  /** Names of the callers that take turns. */
  readonly callers: readonly string[];
  readonly requestsPerSecond: number;
  buildRequest(sequence: number, caller: string): CallerRequest;
}

export default TrafficFlow;
