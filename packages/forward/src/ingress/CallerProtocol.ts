/**
 * Headers in which callers describe their requests.
 */
import type { IncomingHttpHeaders } from 'node:http';

/** Implemented once for each platform. Names of headers that are read are in lower case. */
interface CallerProtocol {
  /** Header with the caller's deadline in milliseconds. */
  readonly deadlineHeader: string;
  /** Header with a customer's key; absent: callers have no keys. */
  readonly keyHeader?: string;
  /** Header in which targets get the customer's name, as it is sent. */
  readonly customerHeader?: string;
  /** Returns the caller's id of the request, undefined if it has none. */
  readRequestId(headers: IncomingHttpHeaders): string | undefined;
  /** Returns the key of the object that the request concerns, undefined if unknown. */
  readAffinityKey(headers: IncomingHttpHeaders): string | undefined;
}

export default CallerProtocol;
