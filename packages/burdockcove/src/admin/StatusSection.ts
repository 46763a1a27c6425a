/**
 * One part of the answer to `GET /status`.
 */

/** `describeStatus` returns plain data for JSON. */
interface StatusSection {
  readonly name: string;
  describeStatus(): unknown;
}

export default StatusSection;
