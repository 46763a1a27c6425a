/**
 * Where the measured slopes are kept.
 */

/** Written by `npm run bench -- slopes`, read by `npm run capacity`. */
const SLOPES_FILE = new URL('../../../../docs/capacity/slopes.json', import.meta.url);

export default SLOPES_FILE;
