/**
 * Builds targets for tests of estimates.
 */
import type KnownTarget from '@burdockcove/fleet/KnownTarget';

const SLOTS = 9;

/** Builds a target with nine slots. */
export default function buildKnownTarget(name: string, region = 'north'): KnownTarget {
  return {
    target: {
      name,
      service: 'desk',
      address: `${name}:1`,
      failureDomain: 'a',
      slots: SLOTS,
      labels: {},
    },
    region,
    isLeaving: false,
    startedAtMs: 0,
    coldMs: 0,
    coldUntilMs: -Infinity,
    expiresAtMs: null,
  };
}
