/**
 * Filling of the generated part of the capacity page.
 */

const BEGIN = '<!-- tables: begin, written by npm run capacity -->';
const END = '<!-- tables: end -->';

/** Replaces what stands between the two marks; throws where a mark is missing. */
export default function fillPage(page: string, tables: string): string {
  const from = page.indexOf(BEGIN);
  const to = page.indexOf(END);
  if (from < 0 || to < from) {
    throw new Error('the capacity page has no marks for its tables');
  }
  return `${page.slice(0, from)}${BEGIN}\n\n${tables}\n${page.slice(to)}`;
}
