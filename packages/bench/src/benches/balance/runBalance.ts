/**
 * One simulated run of the `balance` measurement.
 */
import { setMaxListeners } from 'node:events';
import { Registry } from 'prom-client';
import TokenRetryBudget from '@burdockcove/forward/admission/TokenRetryBudget';
import Random from '@burdockcove/runtime/Random';
import FixedSlotLedger from '@burdockcove/shares/FixedSlotLedger';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type Target from '@burdockcove/types/Target';
import BaselineSender from '../../simulation/BaselineSender.js';
import buildChooserSenders from '../../simulation/buildChooserSenders.js';
import buildLoanLedgers from '../../simulation/buildLoanLedgers.js';
import buildTargets from '../../simulation/buildTargets.js';
import LeastInFlightPick from '../../simulation/LeastInFlightPick.js';
import RandomPick from '../../simulation/RandomPick.js';
import RoundRobinPick from '../../simulation/RoundRobinPick.js';
import RunStatistics from '../../simulation/RunStatistics.js';
import type Sender from '../../simulation/Sender.js';
import sendOpenLoop from '../../simulation/sendOpenLoop.js';
import SIMULATED_SERVICE from '../../simulation/SIMULATED_SERVICE.js';
import SimulationClock from '../../simulation/SimulationClock.js';
import type SimulatedTarget from '../../simulation/SimulatedTarget.js';
import splitSlots from '../../simulation/splitSlots.js';
import type BalanceResult from './BalanceResult.js';
import type BalanceWay from './BalanceWay.js';

const VMS = 4;
const TARGETS = 16;
const SLOTS = 3;
const ONE_WAY_MS = 0.5;
const SERVICE_MS = 50;
/** Two targets in four run at the usual speed, one at two thirds of it and one at a third. */
const SLOWNESS = [1, 1, 1.5, 3];
const WARM_UP_MS = 5_000;
const MEASURED_MS = 20_000;
const MEMBERS = 20;
const BASELINE_ATTEMPTS = 3;
const MS_PER_SECOND = 1_000;

function getServiceMs(index: number): number {
  return SERVICE_MS * (SLOWNESS[index % SLOWNESS.length] as number);
}

function buildLedgers(
  way: 'loans' | 'split' | 'pooled',
  clock: SimulationClock,
  seed: number,
  targets: readonly Target[],
  signal: AbortSignal,
): readonly SlotLedger[] {
  if (way === 'split') {
    return splitSlots(targets, VMS).map((slots) => new FixedSlotLedger(slots));
  }
  if (way === 'pooled') {
    const all = new FixedSlotLedger(new Map(targets.map(({ name, slots }) => [name, slots])));
    return Array.from({ length: VMS }, () => all);
  }
  return buildLoanLedgers({
    clock,
    seed,
    service: SIMULATED_SERVICE,
    regions: [{ region: 'near', vms: VMS, targets }],
    oneWayMs: { near: ONE_WAY_MS, far: ONE_WAY_MS },
    signal,
  });
}

function buildSenders(
  way: BalanceWay,
  clock: SimulationClock,
  seed: number,
  targets: readonly SimulatedTarget[],
  signal: AbortSignal,
): readonly Sender[] {
  const named = targets.map(({ options }) => options.target);
  if (way === 'loans' || way === 'split' || way === 'pooled') {
    return buildChooserSenders({
      clock,
      seed,
      service: SIMULATED_SERVICE,
      regions: [{ region: 'near', oneWayMs: 0, targets: named }],
      targets: new Map(targets.map((target) => [target.options.target.name, target])),
      ledgers: buildLedgers(way, clock, seed, named, signal),
      signal,
    });
  }
  const policies = {
    random: RandomPick,
    'round-robin': RoundRobinPick,
    'least-in-flight': LeastInFlightPick,
  };
  return Array.from({ length: VMS }, (_, index) => {
    const policy = new policies[way](new Random(seed + index));
    const budget = new TokenRetryBudget(new Registry());
    return new BaselineSender(index, SIMULATED_SERVICE, targets, policy, budget, BASELINE_ATTEMPTS);
  });
}

/** `load` is the share of what all slots together could run. */
export default async function runBalance(
  way: BalanceWay,
  load: number,
  seed: number,
): Promise<BalanceResult> {
  const clock = new SimulationClock();
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const targets = buildTargets(clock, new Random(seed), {
    region: 'near',
    count: TARGETS,
    slots: SLOTS,
    oneWayMs: ONE_WAY_MS,
    serviceMs: getServiceMs,
    startedMs: () => -Infinity,
  });
  const capacity = targets.reduce((sum, { options }) => sum + SLOTS / options.serviceMs, 0);
  const statistics = new RunStatistics();
  const { deadlineMs } = SIMULATED_SERVICE;
  const senders = buildSenders(way, clock, seed, targets, stop.signal);
  const sent = sendOpenLoop(clock, new Random(seed), senders, {
    fromMs: 0,
    untilMs: WARM_UP_MS + MEASURED_MS,
    requestsPerSecond: load * capacity * MS_PER_SECOND,
    deadlineMs,
    members: MEMBERS,
    onOutcome: (outcome, dueMs, latencyMs) => {
      if (dueMs >= WARM_UP_MS) {
        statistics.record(outcome, latencyMs, deadlineMs);
      }
    },
  });
  await clock.runUntil(WARM_UP_MS + MEASURED_MS + deadlineMs);
  await sent;
  stop.abort();
  const attempts = targets.reduce((sum, target) => sum + target.attempts, 0);
  const sheds = targets.reduce((sum, target) => sum + target.sheds, 0);
  return { statistics, shedShare: sheds / attempts };
}
