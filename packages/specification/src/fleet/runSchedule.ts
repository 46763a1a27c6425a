/**
 * One seeded schedule of faults against the real code of shares.
 */
import FaultInjector from './FaultInjector.js';
import type FaultKind from './FaultKind.js';
import type FleetOptions from './FleetOptions.js';
import VirtualFleet from './VirtualFleet.js';
import type ScheduleResult from './ScheduleResult.js';

const QUIET_START_MS = 2_000;
const MAX_GAP_MS = 1_000;
/** Longer than every wait of the protocol. */
const QUIET_END_MS = 30_000;

/** Slots of the store's plans that no entry VM owns. */
function countUnowned(fleet: VirtualFleet): number {
  const configuration = fleet.getConfiguration();
  const slots = configuration.targets.reduce((sum, target) => sum + target.slots, 0);
  const plans = configuration.regions.flatMap(({ name }) => fleet.readPlan(name)?.rows ?? []);
  const owned = plans
    .filter((row) => fleet.nodes.get(row.address)?.process.isRunning())
    .reduce((sum, row) => sum + row.shares.reduce((total, share) => total + share, 0), 0);
  return slots - owned;
}

/** Faults of the kinds given come at random for the time given; then the fleet is left to recover. */
export default async function runSchedule(
  options: FleetOptions,
  kinds: readonly FaultKind[],
  faultsMs: number,
): Promise<ScheduleResult> {
  const fleet = new VirtualFleet(options);
  const injector = new FaultInjector(fleet, options.seed);
  await fleet.start();
  await fleet.runFor(QUIET_START_MS);
  const endMs = fleet.time.getNowMs() + faultsMs;
  const injected: FaultKind[] = [];
  while (fleet.time.getNowMs() < endMs) {
    await fleet.runFor(injector.drawMs(MAX_GAP_MS));
    const kind = injector.drawKind(kinds);
    if (kind !== undefined) {
      injector.inject(kind);
      injected.push(kind);
    }
  }
  await fleet.runFor(QUIET_END_MS);
  return {
    exceeded: fleet.truth.countExceeded(),
    regionExceeded: fleet.truth.countRegionExceeded(),
    largestMove: fleet.shiftTruth.getLargestMove(),
    unownedAtEnd: countUnowned(fleet),
    failures: fleet.failures.map(String),
    served: fleet.counts.sumServed(0, Infinity),
    injected,
  };
}
