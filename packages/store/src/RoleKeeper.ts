/**
 * Holding of one role by at most one entry VM that can write.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type HeldRole from './HeldRole.js';

/** A write by a role's holder compares the role's key (`buildFence`), so a former holder cannot write. */
interface RoleKeeper {
  readonly role: string;
  /** The role while this VM's own clock says that its lease lives, counted from before the lease was last kept alive. */
  getHeldRole(): Option<HeldRole>;
}

export default RoleKeeper;
