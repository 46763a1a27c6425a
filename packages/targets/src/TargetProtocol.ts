/**
 * What is said to targets beside the request, and what their answers mean.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type ResponseMeaning from './ResponseMeaning.js';
import type SentRequest from './SentRequest.js';
import type TargetLoad from './TargetLoad.js';

type ResponseHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** One adapter a platform; nothing else interprets what a target says. */
interface TargetProtocol {
  /** Headers for the target, flat name and value pairs; `remainingMs` is what is left of the deadline. */
  listRequestHeaders(sent: SentRequest, remainingMs: number): readonly string[];
  interpretResponse(status: number, headers: ResponseHeaders, sent: SentRequest): ResponseMeaning;
  /** The load that an answer carries, none where the target does not tell. */
  parseResponseLoad(headers: ResponseHeaders): Option<TargetLoad>;
}

export default TargetProtocol;
