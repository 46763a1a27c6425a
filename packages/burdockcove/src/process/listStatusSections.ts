/**
 * What `GET /status` shows of one entry VM.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type StatusSection from '../admin/StatusSection.js';
import type ControlParts from './ControlParts.js';
import type ShareParts from './ShareParts.js';

function describeShares(control: ControlParts, { ledger }: ShareParts): unknown {
  const current = control.configuration.getCurrent();
  const targets = isSome(current) ? current.value.configuration.targets : [];
  return targets
    .map(({ name }) => ({
      target: name,
      owned: ledger.countOwned(name),
      inUse: ledger.countOwnedInUse(name),
      lent: ledger.lent.countLent(name),
      borrowedInUse: ledger.borrowed.countInUse(name),
    }))
    .filter((row) => row.owned + row.inUse + row.lent + row.borrowedInUse > 0);
}

/** Plain data for JSON. */
export default function listStatusSections(
  control: ControlParts,
  shares: ShareParts,
): readonly StatusSection[] {
  return [
    {
      name: 'replica',
      describeStatus: () => ({
        ready: control.replica.isReady(),
        ageMs: control.replica.getAgeMs(),
      }),
    },
    { name: 'members', describeStatus: () => control.membership.getMembers() },
    { name: 'shares', describeStatus: () => describeShares(control, shares) },
    {
      name: 'shifts',
      describeStatus: () =>
        control.replica.listEntries('state/shift/').map(({ key, value }) => ({ key, value })),
    },
  ];
}
