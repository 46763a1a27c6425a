/**
 * When the objective `headroom` begins to spread requests.
 */

/** From this use of the nearest region on, requests go to less used regions too; a share of its slots. */
const SPREAD_FROM_USE = 0.7;

export default SPREAD_FROM_USE;
