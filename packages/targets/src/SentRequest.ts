/**
 * A request as it went to a target.
 */

/** What tells the answer to it from answers to other requests. */
interface SentRequest {
  readonly requestId: string;
  readonly targetName: string;
}

export default SentRequest;
