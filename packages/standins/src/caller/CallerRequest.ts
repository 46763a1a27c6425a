/**
 * A request that a caller wants to make.
 */

/** `service` is sent as the host name. */
interface CallerRequest {
  readonly service: string;
  readonly member: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  readonly deadlineMs: number;
}

export default CallerRequest;
