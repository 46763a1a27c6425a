/**
 * What makes the head of a response invalid, though the client library accepts it.
 */

const FIRST_INTERIM_STATUS = 100;
const SWITCHING_PROTOCOLS_STATUS = 101;
const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

type Headers = Readonly<Record<string, unknown>>;

/** An interim response has no body, and no request of ours asks for another protocol. */
function isInterim(status: number, headers: Headers): boolean {
  return (
    status >= FIRST_INTERIM_STATUS &&
    status !== SWITCHING_PROTOCOLS_STATUS &&
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Returns the reason why a head is neither that of a final response nor that of an interim one, or undefined. The
 * names of the headers are in lower case.
 */
export default function findHeadFault(status: number, headers: Headers): string | undefined {
  const isValid =
    status < FIRST_FINAL_STATUS ? isInterim(status, headers) : status <= LAST_FINAL_STATUS;
  return isValid ? undefined : `the status ${status} is not that of a response`;
}
