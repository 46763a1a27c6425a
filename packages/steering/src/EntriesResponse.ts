/**
 * Response to a lookup of entry VMs.
 */

/** Serialized once and sent to many callers. */
interface EntriesResponse {
  /** JSON with `revision`, `maxAgeSeconds` and `entries`, best entry VM first. */
  readonly body: Buffer;
  /** How long the caller may cache the response, in seconds. */
  readonly maxAgeSeconds: number;
}

export default EntriesResponse;
