/**
 * Collects the input of a region's plan.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type Member from '@burdockcove/types/Member';
import type Membership from '@burdockcove/types/Membership';
import type Clock from '@burdockcove/runtime/Clock';
import type Replica from '@burdockcove/store/Replica';
import type RegionPlan from '../RegionPlan.js';
import type ShareReport from '../ShareReport.js';
import type ShareTiming from '../ShareTiming.js';
import type ShareTransport from '../ShareTransport.js';
import computeDriftSafeWaitMs from '../computeDriftSafeWaitMs.js';
import getPlanKey from '../getPlanKey.js';
import parseRegionPlan from '../parseRegionPlan.js';
import AbsenceTracker from './AbsenceTracker.js';
import type CurrentPlan from './CurrentPlan.js';
import DeadlineTracker from './DeadlineTracker.js';
import listPlanTargets from './listPlanTargets.js';
import type PlanInput from './PlanInput.js';
import fetchReports from './fetchReports.js';

type Rows = RegionPlan['rows'];

type Row = Rows[number];

function isUnconfirmed(row: Row): boolean {
  return row.held.some((held, index) => held > (row.shares[index] ?? 0));
}

/**
 * Tracks since when entry VMs are missing. The planner resets this when it acquires the role again.
 */
export default class PlanInputCollector {
  private readonly absences = new Map<string, AbsenceTracker>();

  private readonly deadlines: DeadlineTracker;

  constructor(
    private readonly clock: Clock,
    private readonly timing: ShareTiming,
    private readonly membership: Membership,
    private readonly replica: Replica,
    private readonly transport: ShareTransport,
  ) {
    this.deadlines = new DeadlineTracker(clock, timing);
  }

  /** Discards observations from an earlier term of the role. */
  clear(): void {
    this.absences.clear();
    this.deadlines.clear();
  }

  /** `ownerRegion` is the region whose entry VMs should own the slots. */
  async collectInput(
    region: string,
    ownerRegion: string,
    epoch: number,
    accepted: AcceptedConfiguration,
    current: CurrentPlan,
  ): Promise<PlanInput> {
    const rows = current.plan?.rows ?? [];
    const reports = await this.pollOwners(region, rows);
    const members = this.membership.getMembers();
    const missing = this.listMissing(rows, members, reports);
    const plannedMs = current.plan?.longestDeadlineMs ?? 0;
    const longestDeadlineMs = this.deadlines.updateDeadline(
      region,
      accepted.configuration,
      plannedMs,
    );
    const ownerRegionMembers = members.filter((member) => member.region === ownerRegion);
    return {
      region,
      configurationRevision: accepted.revision,
      epoch,
      longestDeadlineMs,
      targets: this.listTargets(region, accepted),
      owners: ownerRegionMembers.filter((member) => member.state === 'live' && member.reachable),
      leaving: new Set([...missing, ...PlanInputCollector.listLeaving(rows, members, ownerRegion)]),
      expired: this.listExpired(region, rows, missing, longestDeadlineMs),
      reports,
      planRevision: current.revision,
    };
  }

  private pollOwners(region: string, rows: Rows): Promise<ReadonlyMap<string, ShareReport>> {
    const listed = new Set(this.membership.getMembers().map((member) => member.address));
    const polledRows = rows.filter((row) => !listed.has(row.address) || isUnconfirmed(row));
    return fetchReports(this.transport, region, polledRows);
  }

  /** Owners that are absent from the VM list and did not respond. */
  private listMissing(
    rows: Rows,
    members: readonly Member[],
    reports: ReadonlyMap<string, ShareReport>,
  ): readonly string[] {
    const listed = new Set(members.map((member) => member.address));
    return rows
      .map((row) => row.address)
      .filter((address) => !listed.has(address) && !reports.has(address));
  }

  /**
   * Missing owners that have had no shares for the longest possible duration of their requests and
   * loans.
   */
  private listExpired(
    region: string,
    rows: Rows,
    missing: readonly string[],
    longestDeadlineMs: number,
  ): ReadonlySet<string> {
    const withoutShares = rows
      .filter((row) => row.shares.every((share) => share === 0))
      .map((row) => row.address)
      .filter((address) => missing.includes(address));
    const maxHoldMs = this.timing.loanTermMs + longestDeadlineMs + this.timing.marginMs;
    const tracker = this.absences.get(region) ?? new AbsenceTracker(this.clock);
    this.absences.set(region, tracker);
    return tracker.updateMissing(withoutShares, computeDriftSafeWaitMs(maxHoldMs, this.timing));
  }

  /** Owners that are leaving, or are in a region other than the one that should own the slots. */
  private static listLeaving(
    rows: Rows,
    members: readonly Member[],
    ownerRegion: string,
  ): readonly string[] {
    const known = new Map(members.map((member) => [member.address, member]));
    const leaving = rows.filter((row) => {
      const member = known.get(row.address);
      return member !== undefined && (member.state === 'leaving' || member.region !== ownerRegion);
    });
    return leaving.map((row) => row.address);
  }

  /**
   * Excludes targets that another region's plan still contains; they are added once that plan has
   * released them.
   */
  private listTargets(region: string, accepted: AcceptedConfiguration): PlanInput['targets'] {
    const plannedElsewhere = new Set<string>();
    for (const entry of this.replica.listEntries(getPlanKey(''))) {
      const plan = parseRegionPlan(entry.value);
      if (entry.key !== getPlanKey(region) && isSome(plan)) {
        plan.value.targets.forEach((target) => plannedElsewhere.add(target));
      }
    }
    return listPlanTargets(accepted.configuration, region).filter(
      ({ name }) => !plannedElsewhere.has(name),
    );
  }
}
