/**
 * The bound that the design page states.
 */
import type Customer from '@burdockcove/types/Customer';

const WINDOW_S = 5;
const OVERAGE = 0.1;
const SLACK = 20;

/** Returns the number of a customer's requests that may run in a window. */
export default function computeBound({ quota }: Customer): number {
  const { ratePerS = Infinity, burst = 0 } = quota ?? {};
  return (ratePerS * WINDOW_S + burst) * (1 + OVERAGE) + SLACK;
}
