/**
 * A task that a supervisor runs.
 */

/** A long-running task. */
interface Child {
  readonly name: string;
  /** Runs until the signal is aborted; returning or throwing earlier counts as a failure. */
  run(signal: AbortSignal): Promise<void>;
}

export default Child;
