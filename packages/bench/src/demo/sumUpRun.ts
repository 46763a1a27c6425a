/**
 * Figures of a whole run of the demo.
 */
import type CallerOutcome from '@burdockcove/standins/caller/CallerOutcome';
import tallyRun from '@burdockcove/standins/traffic/tallyRun';
import type Deployment from '../deployment/Deployment.js';

function sumCounts(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}

function listLatencies(outcomes: readonly CallerOutcome[]): readonly number[] {
  return outcomes
    .filter(({ told }) => told === 'answered')
    .map(({ latencyMs }) => latencyMs)
    .sort((a, b) => a - b);
}

/** Requests at once above any target's slots, and requests that targets shed for want of a slot. */
function countExceeded({ configuration, targets }: Deployment): number {
  const counts = configuration.targets.map(({ name, slots }) => {
    const seen = targets.get(name)?.getCounts();
    return { above: (seen?.peakInFlight ?? 0) - slots, shed: seen?.shed ?? 0 };
  });
  const shed = counts.reduce((sum, each) => sum + each.shed, 0);
  return Math.max(0, ...counts.map(({ above }) => above)) + shed;
}

/** Compares what callers were told with what the targets ran. */
export default function sumUpRun(
  deployment: Deployment,
  outcomes: readonly CallerOutcome[],
  seconds: number,
) {
  const standIns = [...deployment.targets.values()];
  const runs = standIns.map((target) => target.getCounts().runs);
  const latencies = listLatencies(outcomes);
  const findQuantile = (share: number): number =>
    latencies[Math.floor(latencies.length * share)] ?? NaN;
  return {
    deployment: deployment.options.name,
    targets: standIns.length,
    requests: outcomes.length,
    ...tallyRun(outcomes, runs),
    p50Ms: findQuantile(0.5),
    p99Ms: findQuantile(0.99),
    slotsExceeded: countExceeded(deployment),
    storeCallsPerSecond: sumCounts(deployment.store.meter.getCounts()) / seconds,
  };
}
