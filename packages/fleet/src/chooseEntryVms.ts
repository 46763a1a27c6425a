/**
 * Choice of the entry VMs that a look-up returns to a caller.
 */
import type FleetMember from './FleetMember.js';

/** Location of the caller that the look-up is for. */
interface CallerLocation {
  readonly region: string;
  /** Regions that may handle the caller's requests besides its own; empty means all. */
  readonly homeRegions: readonly string[];
}

/** Returns the entry VMs of the caller's region, or of the home regions if there are none, or all. */
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
