/**
 * Which entry VMs a caller is told to use.
 */
import type FleetMember from './FleetMember.js';

/** Whom the answer is for. */
interface Asker {
  readonly region: string;
  /** Regions that may handle the caller's requests beside its own; empty: all. */
  readonly homeRegions: readonly string[];
}

/** Those of the caller's region; where none lives there, those of the home regions. */
export default function chooseEntryVms(
  members: readonly FleetMember[],
  { region, homeRegions }: Asker,
): readonly FleetMember[] {
  const own = members.filter((member) => member.region === region);
  if (own.length > 0) {
    return own;
  }
  const home = members.filter((member) => homeRegions.includes(member.region));
  return homeRegions.length > 0 && home.length > 0 ? home : members;
}
