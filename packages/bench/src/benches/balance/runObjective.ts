/**
 * One simulated run that shows what a service's objective changes.
 */
import { setMaxListeners } from 'node:events';
import Random from '@burdockcove/runtime/Random';
import type Objective from '@burdockcove/types/Objective';
import buildChooserSenders from '../../simulation/buildChooserSenders.js';
import buildLoanLedgers from '../../simulation/buildLoanLedgers.js';
import buildTargets from '../../simulation/buildTargets.js';
import RunStatistics from '../../simulation/RunStatistics.js';
import sendOpenLoop from '../../simulation/sendOpenLoop.js';
import SIMULATED_SERVICE from '../../simulation/SIMULATED_SERVICE.js';
import SimulationClock from '../../simulation/SimulationClock.js';
import type SimulatedTarget from '../../simulation/SimulatedTarget.js';

const VMS_PER_REGION = 4;
const TARGETS = 8;
const SLOTS = 3;
const NEAR_ONE_WAY_MS = 0.5;
const FAR_ONE_WAY_MS = 20;
const SERVICE_MS = 50;
const WARM_UP_MS = 5_000;
const MEASURED_MS = 30_000;
const MEMBERS = 20;
const MS_PER_SECOND = 1_000;
/** Load of the rush, as a share of the near region's slots; the far region has none of its own. */
const RUSH_LOAD = 0.85;

interface ObjectiveResult {
  readonly statistics: RunStatistics;
  /** Share of the near region's slots in use, averaged over the run. */
  readonly nearUse: number;
  readonly farUse: number;
}

function computeUse(targets: readonly SimulatedTarget[]): number {
  const busyMs = targets.reduce((sum, target) => sum + target.busyMs, 0);
  return busyMs / (TARGETS * SLOTS * (WARM_UP_MS + MEASURED_MS));
}

/** Callers come to the near region's entry VMs only; those of the far region lend their slots. */
export default async function runObjective(
  objective: Objective,
  seed: number,
): Promise<ObjectiveResult> {
  const clock = new SimulationClock();
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const random = new Random(seed);
  const build = (region: string, oneWayMs: number): readonly SimulatedTarget[] =>
    buildTargets(clock, random, {
      region,
      count: TARGETS,
      slots: SLOTS,
      oneWayMs,
      serviceMs: () => SERVICE_MS,
      startedMs: () => -Infinity,
    });
  const near = build('near', NEAR_ONE_WAY_MS);
  const far = build('far', FAR_ONE_WAY_MS);
  const service = { ...SIMULATED_SERVICE, objective };
  const regions = [
    { region: 'near', oneWayMs: 0, targets: near.map(({ options }) => options.target) },
    { region: 'far', oneWayMs: FAR_ONE_WAY_MS, targets: far.map(({ options }) => options.target) },
  ];
  const ledgers = buildLoanLedgers({
    clock,
    seed,
    service,
    regions: regions.map(({ region, targets }) => ({ region, targets, vms: VMS_PER_REGION })),
    oneWayMs: { near: NEAR_ONE_WAY_MS, far: FAR_ONE_WAY_MS },
    signal: stop.signal,
  });
  const senders = buildChooserSenders({
    clock,
    seed,
    service,
    regions,
    targets: new Map([...near, ...far].map((target) => [target.options.target.name, target])),
    ledgers: ledgers.slice(0, VMS_PER_REGION),
    signal: stop.signal,
  });
  const statistics = new RunStatistics();
  const sent = sendOpenLoop(clock, new Random(seed), senders, {
    fromMs: 0,
    untilMs: WARM_UP_MS + MEASURED_MS,
    requestsPerSecond: (RUSH_LOAD * TARGETS * SLOTS * MS_PER_SECOND) / SERVICE_MS,
    deadlineMs: service.deadlineMs,
    members: MEMBERS,
    onOutcome: (outcome, dueMs, latencyMs) => {
      if (dueMs >= WARM_UP_MS) {
        statistics.record(outcome, latencyMs, service.deadlineMs);
      }
    },
  });
  await clock.runUntil(WARM_UP_MS + MEASURED_MS + service.deadlineMs);
  await sent;
  stop.abort();
  return { statistics, nearUse: computeUse(near), farUse: computeUse(far) };
}
