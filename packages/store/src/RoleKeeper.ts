/**
 * Leadership of one role: at most one entry VM can write as its holder.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type HeldRole from './HeldRole.js';

/** A write by a role's holder compares the role's key (`buildFence`), so a former holder cannot write. */
interface RoleKeeper {
  readonly role: string;
  /** Returns the role while its lease is valid by this VM's clock, counted from before the last renewal was sent. */
  getHeldRole(): Option<HeldRole>;
}

export default RoleKeeper;
