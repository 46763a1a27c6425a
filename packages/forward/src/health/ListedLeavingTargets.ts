/**
 * Determines leaving targets from the configuration in force and the VM list.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import listLabelledTargets from '@burdockcove/steering/listLabelledTargets';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Membership from '@burdockcove/types/Membership';
import type Target from '@burdockcove/types/Target';
import type LeavingTargets from './LeavingTargets.js';

/** Keeps the names of the targets that do not leave, rebuilt with each new configuration. */
export default class ListedLeavingTargets implements LeavingTargets {
  private activeTargets: ReadonlySet<string> | null = null;

  constructor(
    source: ConfigurationSource,
    private readonly membership: Membership,
  ) {
    const current = source.getCurrent();
    if (isSome(current)) {
      this.update(current.value);
    }
    source.subscribe((accepted) => this.update(accepted));
  }

  isLeaving(target: Target): boolean {
    if (this.activeTargets !== null && !this.activeTargets.has(target.name)) {
      return true;
    }
    return this.membership.isTargetLeaving(target.address);
  }

  private update(accepted: AcceptedConfiguration): void {
    const names = listLabelledTargets(accepted.configuration)
      .filter(({ isLabelledLeaving }) => !isLabelledLeaving)
      .map(({ target }) => target.name);
    this.activeTargets = new Set(names);
  }
}
