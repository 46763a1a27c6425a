/**
 * A request that was sent to a target.
 */

/** Identifies the response to this request among others. */
interface SentRequest {
  readonly requestId: string;
  readonly targetName: string;
}

export default SentRequest;
