/**
 * Where the capacity page is kept.
 */

/** Its tables are written by `npm run capacity`. */
const PAGE_FILE = new URL('../../../../docs/CAPACITY.md', import.meta.url);

export default PAGE_FILE;
