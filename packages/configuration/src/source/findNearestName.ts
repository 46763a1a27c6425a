/**
 * The known name that a wrong one was probably meant to be.
 */
import { distance } from 'fastest-levenshtein';

/** One wrong letter for each so many letters of the name is taken for a slip. */
const LETTERS_PER_SLIP = 3;

/** The nearest known name, or undefined where none is near. */
export default function findNearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  const wanted = name.toLowerCase();
  const sorted = known
    .map((each) => ({ each, slips: distance(wanted, each.toLowerCase()) }))
    .sort((left, right) => left.slips - right.slips);
  const [nearest] = sorted;
  const limit = Math.max(1, Math.floor(name.length / LETTERS_PER_SLIP));
  return nearest !== undefined && nearest.slips <= limit ? nearest.each : undefined;
}
