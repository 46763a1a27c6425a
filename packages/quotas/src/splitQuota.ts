/**
 * Splits a customer's quota into parts with an owner each, so that no owner serves too many VMs.
 *
 * The first part has an owner for this customer alone, whatever the number of parts, so that its owner does not change
 * with the quota. The others have owners that all customers share, which costs fewer calls. The first part is therefore
 * small, and few VMs ask it.
 *
 * Requests that run in a window use what was granted in the window and in one lifetime before it. That is at most what
 * the buckets hold, and what they gain in the window and the lifetime. The bound's overage and slack can therefore be
 * spent on longer portions, which save calls, or on larger buckets, without which a VM that asks for several requests at
 * once finds too few. A quota with a small burst gets shorter portions and larger buckets than its burst.
 */
import type RequestQuota from '@burdockcove/types/RequestQuota';
import computePortionLifetimeMs from './computePortionLifetimeMs.js';
import countParts from './countParts.js';
import type PartQuota from './PartQuota.js';
import type QuotaRules from './QuotaRules.js';

const MS_PER_SECOND = 1000;
/** Share of the slack that buckets hold; the rest is kept for the rounding of parts. */
const SLACK_SHARE = 0.5;
/** Share of the longest lifetime for which a bucket should hold the rate, at the cost of the lifetime. */
const HELD_SHARE = 0.3;
/** Rate of the first of several parts, as a share of that of each other one. */
const FIRST_WEIGHT = 1 / 3;

/** The first part, whose owner one customer has alone, is smaller than the others. */
export default function splitQuota(
  { ratePerS, burst }: RequestQuota,
  rules: QuotaRules,
): PartQuota {
  const parts = countParts(ratePerS);
  const longestMs = computePortionLifetimeMs(rules);
  const held = burst + rules.slack * SLACK_SHARE;
  const heldMs = (held / ratePerS) * MS_PER_SECOND;
  const takenMs = Math.max(0, longestMs * HELD_SHARE - heldMs);
  const capacity = held + (ratePerS * takenMs) / MS_PER_SECOND;
  const weight = parts === 1 ? 1 : FIRST_WEIGHT;
  const share = 1 / (parts - 1 + weight);
  const computeLimits = (ofAll: number): PartQuota['first'] => ({
    ratePerS: ratePerS * ofAll,
    capacity: Math.max(1, capacity * ofAll),
  });
  return {
    parts,
    first: computeLimits(weight * share),
    others: computeLimits(share),
    lifetimeMs: longestMs - takenMs,
  };
}
