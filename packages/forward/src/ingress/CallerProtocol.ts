/**
 * What callers say of their requests in headers.
 */
import type { IncomingHttpHeaders } from 'node:http';

/** One adapter a platform. Names are in lower case. */
interface CallerProtocol {
  /** Header with the milliseconds that the caller waits. */
  readonly deadlineHeader: string;
  /** The caller's own id of the request, absent where it names none. */
  readRequestId(headers: IncomingHttpHeaders): string | undefined;
  /** Key of the object that the request concerns, absent where it is unknown. */
  readAffinityKey(headers: IncomingHttpHeaders): string | undefined;
}

export default CallerProtocol;
