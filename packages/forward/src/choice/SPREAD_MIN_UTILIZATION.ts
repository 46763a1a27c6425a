/**
 * The utilization from which the objective `headroom` spreads requests.
 */

/** Share of the nearest region's slots in use above which requests also go to less utilized regions. */
const SPREAD_MIN_UTILIZATION = 0.7;

export default SPREAD_MIN_UTILIZATION;
