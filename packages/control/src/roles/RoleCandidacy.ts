/**
 * Whether this entry VM may try for a role.
 */

/** Asked before each step, since it changes with the members. */
interface RoleCandidacy {
  isCandidate(role: string): boolean;
  /** `IP:PORT` of this VM, named as the holder. */
  getHolder(): string;
}

export default RoleCandidacy;
