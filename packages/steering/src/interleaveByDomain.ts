/**
 * Interleaves entry VMs by failure domain.
 */
import type Member from '@burdockcove/types/Member';

/** Adjacent members in the result are in different failure domains as far as possible. */
export default function interleaveByDomain(members: readonly Member[]): readonly Member[] {
  const sorted = [...members].sort((left, right) => (left.address < right.address ? -1 : 1));
  const countByDomain = new Map<string, number>();
  const ranked = sorted.map((member) => {
    const rank = countByDomain.get(member.failureDomain) ?? 0;
    countByDomain.set(member.failureDomain, rank + 1);
    return { member, rank };
  });
  const compareDomains = (left: Member, right: Member): number =>
    left.failureDomain < right.failureDomain
      ? -1
      : Number(left.failureDomain > right.failureDomain);
  return ranked
    .sort((left, right) => left.rank - right.rank || compareDomains(left.member, right.member))
    .map(({ member }) => member);
}
