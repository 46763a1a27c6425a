/**
 * The ways to meet an overload that the `overload` measurement compares.
 */

/**
 * `loans`: burdockcove as it ships, with entry VMs that lend each other idle slots; `split`: the same with slots split
 * evenly for good; `unbounded`: the baseline without limits and deadlines.
 */
type OverloadWay = 'loans' | 'split' | 'unbounded';

export default OverloadWay;
