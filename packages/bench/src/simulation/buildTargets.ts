/**
 * Targets of a simulated region.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Random from '@burdockcove/runtime/Random';
import SimulatedTarget from './SimulatedTarget.js';

interface TargetsOptions {
  readonly region: string;
  readonly count: number;
  readonly slots: number;
  readonly oneWayMs: number;
  /** Mean time to run one request at the target with the index, in milliseconds. */
  readonly serviceMs: (index: number) => number;
  readonly startedMs: (index: number) => number;
}

/** Named and addressed `REGION-INDEX`. */
export default function buildTargets(
  clock: Clock,
  random: Random,
  options: TargetsOptions,
): readonly SimulatedTarget[] {
  return Array.from({ length: options.count }, (_, index) => {
    const name = `${options.region}-${String(index)}`;
    const target = {
      name,
      service: 'desk',
      address: name,
      failureDomain: `${options.region}-a`,
      slots: options.slots,
      labels: {},
    };
    return new SimulatedTarget(clock, random, {
      target,
      oneWayMs: options.oneWayMs,
      serviceMs: options.serviceMs(index),
      startedMs: options.startedMs(index),
    });
  });
}
