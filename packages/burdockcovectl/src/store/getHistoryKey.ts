/**
 * Where operator changes are kept.
 */

const DIGITS = 12;

/** Key of the change that made this revision; keys sort by revision. */
export default function getHistoryKey(revision: number): string {
  return `history/${String(revision).padStart(DIGITS, '0')}`;
}
