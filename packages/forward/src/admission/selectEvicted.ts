/**
 * Selects the waiting request that gives way to a newcomer where no more may wait.
 */
import type ChoiceRequest from '../ChoiceRequest.js';
import getPriority from '../getPriority.js';

function countMember(requests: readonly ChoiceRequest[], member: string): number {
  return requests.filter((request) => request.member === member).length;
}

/**
 * Returns the newest of the least urgent requests, of the Member with most of them; `waiting` is sorted by age, oldest
 * first. Undefined if the newcomer is less urgent, or as urgent and its Member would then have more than that one.
 */
export default function selectEvicted(
  waiting: readonly ChoiceRequest[],
  newcomer: ChoiceRequest,
): ChoiceRequest | undefined {
  const lowest = Math.max(...waiting.map(getPriority));
  const least = waiting.filter((request) => getPriority(request) === lowest);
  const counts = new Map<string, number>();
  least.forEach(({ member }) => counts.set(member, (counts.get(member) ?? 0) + 1));
  const most = Math.max(...counts.values());
  const evicted = [...least].reverse().find(({ member }) => counts.get(member) === most);
  const priority = getPriority(newcomer);
  const isShareSmaller = countMember(least, newcomer.member) + 1 < most;
  return priority < lowest || (priority === lowest && isShareSmaller) ? evicted : undefined;
}
