/**
 * Protocol with targets: added request headers and the meaning of responses.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type ResponseMeaning from './ResponseMeaning.js';
import type SentRequest from './SentRequest.js';
import type TargetLoad from './TargetLoad.js';
import type TargetNotice from './TargetNotice.js';

type ResponseHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Implemented by one adapter per platform, the only place that interprets responses of targets. */
interface TargetProtocol {
  /** Returns the headers for the target as a flat list of names and values; `remainingMs` is the time until the deadline. */
  listRequestHeaders(sent: SentRequest, remainingMs: number): readonly string[];
  interpretResponse(status: number, headers: ResponseHeaders, sent: SentRequest): ResponseMeaning;
  /** Returns the load that the response reports, or none. */
  parseResponseLoad(headers: ResponseHeaders): Option<TargetLoad>;
  /** Returns what the target says of itself with the response, `NO_NOTICE` itself if that is nothing. */
  parseNotice(status: number, headers: ResponseHeaders): TargetNotice;
}

export default TargetProtocol;
