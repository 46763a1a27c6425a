/**
 * Which entry VMs a caller is told to use.
 */
import type FleetMember from './FleetMember.js';

/** Whom the answer is for. */
interface CallerLocation {
  readonly region: string;
  /** Regions that may handle the caller's requests beside its own; empty: all. */
  readonly homeRegions: readonly string[];
}

/** Those of the caller's region; where none lives there, those of the home regions. */
export default function chooseEntryVms(
  members: readonly FleetMember[],
  { region, homeRegions }: CallerLocation,
): readonly FleetMember[] {
  const sameRegion = members.filter((member) => member.region === region);
  if (sameRegion.length > 0) {
    return sameRegion;
  }
  const inHomeRegions = members.filter((member) => homeRegions.includes(member.region));
  return homeRegions.length > 0 && inHomeRegions.length > 0 ? inHomeRegions : members;
}
