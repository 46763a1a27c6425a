/**
 * The ways to choose targets that the `balance` measurement compares.
 */

/** `split`: burdockcove with slots split evenly between the entry VMs; `loans`: the same, and VMs lend each other
 * idle slots, as the product does; `pooled`: all VMs take slots from one ledger, which no real fleet can; the others are baselines. */
type BalanceWay = 'loans' | 'split' | 'pooled' | 'random' | 'round-robin' | 'least-in-flight';

export default BalanceWay;
