/**
 * Longest time for which a granted portion may be used.
 */
import type QuotaRules from './QuotaRules.js';

const MAX_LIFETIME_MS = 1000;

/**
 * Returns milliseconds. Requests that run in a window use grants of the window and of one lifetime before it, and the
 * overage covers what the rate grants in that time.
 */
export default function computePortionLifetimeMs({ windowMs, overage }: QuotaRules): number {
  return Math.min(MAX_LIFETIME_MS, windowMs * overage);
}
