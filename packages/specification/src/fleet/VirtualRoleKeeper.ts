/**
 * A role keeper that believes what the fleet last told it.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';
import type HeldRole from '@burdockcove/store/HeldRole';
import type RoleKeeper from '@burdockcove/store/RoleKeeper';

/** A process that lost the role while it was paused goes on believing that it holds it. */
export default class VirtualRoleKeeper implements RoleKeeper {
  private held: Option<HeldRole> = none;

  constructor(readonly role: string) {}

  getHeldRole(): Option<HeldRole> {
    return this.held;
  }

  setHeld(epoch: number): void {
    this.held = some({ role: this.role, epoch, key: `roles/${this.role}` });
  }

  clearHeld(): void {
    this.held = none;
  }
}
