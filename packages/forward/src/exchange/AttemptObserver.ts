/**
 * What an attempt reports while it runs.
 */

/** One for each attempt. */
interface AttemptObserver {
  /** Whether another attempt has begun the response to the caller, so that this one must end. */
  isSuperseded(): boolean;
  /** Sets what ends the attempt once it is superseded; null if nothing has to be done. */
  setCancel(cancel: (() => void) | null): void;
  /** Called at each check while no byte arrives from the target, before the head of its response. */
  onSilent(): void;
  /** Called before the first byte of a response is written to the caller. */
  onResponding(): void;
}

export default AttemptObserver;
