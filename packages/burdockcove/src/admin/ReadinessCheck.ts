/**
 * A condition that must hold before this entry VM takes requests.
 */

/** Checks are cheap and have no side effect. */
interface ReadinessCheck {
  readonly name: string;
  /** Why the process is not ready, or undefined when it is. */
  findReason(): string | undefined;
}

export default ReadinessCheck;
