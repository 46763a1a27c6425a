/**
 * What a service's choice of target is to favour.
 */

/** `headroom` spreads load evenly; `latency` favours the fastest answer. */
type Objective = 'headroom' | 'latency';

export default Objective;
