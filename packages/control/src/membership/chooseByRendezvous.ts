/**
 * Choice of a few VMs for a key without an election.
 */
import type Member from '@burdockcove/types/Member';
import computeRendezvousScore from './computeRendezvousScore.js';

/** The `count` members with the highest scores for the key; VMs with the same view choose the same members. */
export default function chooseByRendezvous(
  key: string,
  members: readonly Member[],
  count: number,
): readonly Member[] {
  return members
    .map((member) => ({ member, score: computeRendezvousScore(key, member.address) }))
    .sort((a, b) => b.score - a.score || (a.member.address < b.member.address ? -1 : 1))
    .slice(0, count)
    .map(({ member }) => member);
}
