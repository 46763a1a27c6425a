/**
 * The answer to a look-up of entry VMs.
 */

/** Sent to the caller as JSON; `entries` has the best first. */
interface EntriesAnswer {
  readonly revision: number;
  /** How long the caller may cache the answer, in seconds. */
  readonly maxAgeSeconds: number;
  readonly entries: readonly {
    /** `IP:PORT` for callers. */
    readonly address: string;
    readonly region: string;
    readonly failureDomain: string;
  }[];
}

export default EntriesAnswer;
