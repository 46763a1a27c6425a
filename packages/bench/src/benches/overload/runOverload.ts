/**
 * One simulated run of the `overload` measurement.
 */
import { setMaxListeners } from 'node:events';
import Random from '@burdockcove/runtime/Random';
import FixedSlotLedger from '@burdockcove/shares/FixedSlotLedger';
import buildChooserSenders from '../../simulation/buildChooserSenders.js';
import buildLoanLedgers from '../../simulation/buildLoanLedgers.js';
import buildTargets from '../../simulation/buildTargets.js';
import NaiveCaller from '../../simulation/NaiveCaller.js';
import RunStatistics from '../../simulation/RunStatistics.js';
import type Sender from '../../simulation/Sender.js';
import sendOpenLoop from '../../simulation/sendOpenLoop.js';
import SIMULATED_SERVICE from '../../simulation/SIMULATED_SERVICE.js';
import SimulationClock from '../../simulation/SimulationClock.js';
import type SimulatedTarget from '../../simulation/SimulatedTarget.js';
import splitSlots from '../../simulation/splitSlots.js';
import UnboundedSender from '../../simulation/UnboundedSender.js';
import computeRecovery from './computeRecovery.js';
import type OverloadResult from './OverloadResult.js';
import type OverloadWay from './OverloadWay.js';

const VMS = 4;
const TARGETS = 16;
const SLOTS = 3;
const SERVICE_MS = 100;
const ONE_WAY_MS = 0.5;
const DEADLINE_MS = 1_000;
const MEMBERS = 20;
const CALLER_ATTEMPTS = 3;
const MS_PER_SECOND = 1_000;
/** The load before and after the overload, as a share of capacity. */
const USUAL_LOAD = 0.7;
const OVERLOAD_FROM_MS = 5_000;
const OVERLOAD_UNTIL_MS = 15_000;
const END_MS = 45_000;

const SERVICE = { ...SIMULATED_SERVICE, deadlineMs: DEADLINE_MS };

function buildSenders(
  way: OverloadWay,
  clock: SimulationClock,
  seed: number,
  targets: readonly SimulatedTarget[],
  signal: AbortSignal,
): readonly Sender[] {
  const named = targets.map(({ options }) => options.target);
  const ledgers =
    way === 'loans'
      ? buildLoanLedgers({
          clock,
          seed,
          service: SERVICE,
          regions: [{ region: 'near', vms: VMS, targets: named }],
          oneWayMs: { near: ONE_WAY_MS, far: ONE_WAY_MS },
          signal,
        })
      : splitSlots(named, VMS).map((slots) => new FixedSlotLedger(slots));
  if (way === 'unbounded') {
    return ledgers.map((ledger, index) => new UnboundedSender(clock, index, targets, ledger));
  }
  return buildChooserSenders({
    clock,
    seed,
    service: SERVICE,
    regions: [{ region: 'near', oneWayMs: 0, targets: named }],
    targets: new Map(targets.map((target) => [target.options.target.name, target])),
    ledgers,
    signal,
  });
}

/** All ways have the same slots and the same callers, who try again at once; `factor` is the overload. */
export default async function runOverload(
  way: OverloadWay,
  factor: number,
  seed: number,
): Promise<OverloadResult> {
  const clock = new SimulationClock();
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const targets = buildTargets(clock, new Random(seed), {
    region: 'near',
    count: TARGETS,
    slots: SLOTS,
    oneWayMs: ONE_WAY_MS,
    serviceMs: () => SERVICE_MS,
    startedMs: () => -Infinity,
  });
  const capacity = (TARGETS * SLOTS * MS_PER_SECOND) / SERVICE_MS;
  const attempts = new RunStatistics();
  const isOverload = (atMs: number): boolean =>
    atMs >= OVERLOAD_FROM_MS && atMs < OVERLOAD_UNTIL_MS;
  const senders = buildSenders(way, clock, seed, targets, stop.signal).map(
    (sender) =>
      new NaiveCaller(clock, sender, CALLER_ATTEMPTS, (outcome, latencyMs) => {
        if (isOverload(clock.getMonotonicMs())) {
          attempts.record(outcome, latencyMs, DEADLINE_MS);
        }
      }),
  );
  const answeredBySecond: number[] = [];
  const dueBySecond: number[] = [];
  const count = (counts: number[], atMs: number): void => {
    const second = Math.floor(atMs / MS_PER_SECOND);
    Object.assign(counts, { [second]: (counts[second] ?? 0) + 1 });
  };
  const random = new Random(seed);
  const phases = [
    { fromMs: 0, untilMs: OVERLOAD_FROM_MS, load: USUAL_LOAD },
    { fromMs: OVERLOAD_FROM_MS, untilMs: OVERLOAD_UNTIL_MS, load: factor },
    { fromMs: OVERLOAD_UNTIL_MS, untilMs: END_MS, load: USUAL_LOAD },
  ];
  const sent = phases.map(({ fromMs, untilMs, load }) =>
    sendOpenLoop(clock, random, senders, {
      fromMs,
      untilMs,
      requestsPerSecond: load * capacity,
      deadlineMs: DEADLINE_MS,
      members: MEMBERS,
      onOutcome: (outcome, dueMs, latencyMs) => {
        count(dueBySecond, dueMs);
        if (outcome === 'answered' && latencyMs <= DEADLINE_MS) {
          count(answeredBySecond, dueMs);
        }
      },
    }),
  );
  await clock.runUntil(END_MS + CALLER_ATTEMPTS * DEADLINE_MS);
  await Promise.all(sent);
  stop.abort();
  const overloadSeconds = (OVERLOAD_UNTIL_MS - OVERLOAD_FROM_MS) / MS_PER_SECOND;
  return {
    goodput: attempts.getCount('answered') / overloadSeconds,
    answeredP50Ms: attempts.computeAnsweredQuantile(0.5),
    answeredP99Ms: attempts.computeAnsweredQuantile(0.99),
    refusedP50Ms: attempts.computeRefusalQuantile(0.5),
    refusedP99Ms: attempts.computeRefusalQuantile(0.99),
    recoverySeconds: computeRecovery(
      dueBySecond,
      answeredBySecond,
      OVERLOAD_UNTIL_MS / MS_PER_SECOND,
    ),
  };
}
