/**
 * Rendezvous hashing over the members.
 */
import hashText from '@burdockcove/runtime/hashText';
import type FleetMember from './FleetMember.js';

/** Members that are kept of a ranking. */
const LEADERS = 2;

interface RankedMember {
  readonly member: FleetMember;
  readonly hash: number;
}

/** Orders by hash, the highest first; equal ones by name. */
function compareRanked(a: RankedMember, b: RankedMember): number {
  return b.hash - a.hash || (a.member.name < b.member.name ? -1 : 1);
}

/** Returns the two members that rank first for the name; all VMs that know the same members agree. */
export default function findLeaders(
  members: Iterable<FleetMember>,
  name: string,
): readonly FleetMember[] {
  let ranked: readonly RankedMember[] = [];
  for (const member of members) {
    const hash = hashText(`${member.name} ${name}`);
    if (hash >= (ranked[LEADERS - 1]?.hash ?? 0)) {
      ranked = [...ranked, { member, hash }].sort(compareRanked).slice(0, LEADERS);
    }
  }
  return ranked.map(({ member }) => member);
}
