/**
 * The answer to a look-up of entry VMs.
 */

/** Serialised once and sent to many callers. */
interface EntriesResponse {
  /** JSON: `revision`, `maxAgeSeconds` and `entries`, best first. */
  readonly body: Buffer;
  /** How long the caller may keep the answer, in seconds. */
  readonly maxAgeSeconds: number;
}

export default EntriesResponse;
