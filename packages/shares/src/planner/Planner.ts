/**
 * Planner of one region.
 *
 * Runs at every entry VM of the region but acts only while this VM holds the planner role. Each
 * iteration polls the VMs that give up slots for what they still use, computes the next step of the
 * plan and writes it, fenced by the revisions of the plan and of the role's key. If the response to
 * a write is lost, the next iteration starts from the plan in the replica; a write against an older
 * revision has no effect.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import { isSome, none, some, type Option } from 'fp-ts/lib/Option.js';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type AuditSink from '@burdockcove/types/AuditSink';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Membership from '@burdockcove/types/Membership';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import buildFence from '@burdockcove/store/buildFence';
import type HeldRole from '@burdockcove/store/HeldRole';
import type Replica from '@burdockcove/store/Replica';
import type RoleKeeper from '@burdockcove/store/RoleKeeper';
import type Store from '@burdockcove/store/Store';
import type RegionPlan from '../RegionPlan.js';
import type ShareTiming from '../ShareTiming.js';
import type ShareTransport from '../ShareTransport.js';
import encodeRegionPlan from '../encodeRegionPlan.js';
import getPlanKey from '../getPlanKey.js';
import parseRegionPlan from '../parseRegionPlan.js';
import type CurrentPlan from './CurrentPlan.js';
import PlanInputCollector from './PlanInputCollector.js';
import advancePlan from './advancePlan.js';
import describePlanChange from './describePlanChange.js';
import listPlannedRegions from './listPlannedRegions.js';

/** Minimum time between iterations; a random time of up to the same length is added. */
const PLANNING_INTERVAL_MS = 500;

/**
 * Plans the shares of its own region, and of regions without entry VMs to which its region is
 * nearest.
 */
export default class Planner implements Child {
  readonly name: string;

  private readonly collector: PlanInputCollector;

  private epoch = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    timing: ShareTiming,
    private readonly region: string,
    private readonly role: RoleKeeper,
    private readonly membership: Membership,
    private readonly configuration: ConfigurationSource,
    private readonly replica: Replica,
    private readonly store: Store,
    transport: ShareTransport,
    private readonly audit: AuditSink,
  ) {
    this.name = `planner ${region}`;
    this.collector = new PlanInputCollector(clock, timing, membership, replica, transport);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.runIteration();
      await waitFor(this.clock, PLANNING_INTERVAL_MS * (1 + this.random.nextFloat()), signal);
    }
  }

  private async runIteration(): Promise<void> {
    const role = this.role.getHeldRole();
    const accepted = this.configuration.getCurrent();
    if (!isSome(role) || !isSome(accepted)) {
      return;
    }
    this.updateEpoch(role.value.epoch);
    const members = this.membership.getMembers();
    const regions = listPlannedRegions(accepted.value.configuration, members, this.region);
    for (const region of regions) {
      await this.planRegion(region, accepted.value);
    }
  }

  /** Discards observations from an earlier term of the role. */
  private updateEpoch(epoch: number): void {
    if (epoch !== this.epoch) {
      this.epoch = epoch;
      this.collector.clear();
    }
  }

  private async planRegion(region: string, accepted: AcceptedConfiguration): Promise<void> {
    const current = this.readCurrentPlan(region);
    if (!isSome(current)) {
      return;
    }
    const ownerRegion = this.getOwnerRegion(region);
    const { epoch } = this;
    const input = await this.collector.collectInput(
      region,
      ownerRegion,
      epoch,
      accepted,
      current.value,
    );
    const next = advancePlan(current.value.plan, input);
    const role = this.role.getHeldRole();
    const changes = describePlanChange(current.value.plan, next);
    if (changes.length === 0 || !isSome(role) || role.value.epoch !== epoch) {
      return;
    }
    await this.writePlan(current.value, next, role.value, changes);
  }

  /**
   * Returns the region itself, or this planner's region if no entry VM of that region is listed.
   */
  private getOwnerRegion(region: string): string {
    const members = this.membership.getMembers();
    return members.some((member) => member.region === region) ? region : this.region;
  }

  /** Returns none if the plan cannot be parsed, for example because a newer version wrote it. */
  private readCurrentPlan(region: string): Option<CurrentPlan> {
    const entry = this.replica.getEntry(getPlanKey(region));
    if (!isSome(entry)) {
      return some({ revision: 0, plan: undefined });
    }
    const plan = parseRegionPlan(entry.value.value);
    if (!isSome(plan)) {
      const fields = { step: 'read-plan', peer: entry.value.key, revision: entry.value.revision };
      this.logger.error('plan cannot be parsed; leaving it unchanged', fields);
      return none;
    }
    return some({ revision: entry.value.revision, plan: plan.value });
  }

  private async writePlan(
    current: CurrentPlan,
    next: RegionPlan,
    role: HeldRole,
    changes: readonly string[],
  ): Promise<void> {
    const key = getPlanKey(next.region);
    const commit = await this.store.commitTransaction({
      compares: [{ key, revision: current.revision }, buildFence(role)],
      puts: [{ key, value: encodeRegionPlan(next) }],
      deletes: [],
    })();
    if (isLeft(commit) || !commit.right.committed) {
      this.logger.info('plan was not written; the next iteration starts from the stored plan', {
        step: 'write-plan',
        peer: isLeft(commit) ? commit.left.peer : key,
        revision: current.revision,
      });
      return;
    }
    this.audit.recordDecision({
      _tag: 'Decision',
      at: new Date(this.clock.getWallMs()).toISOString(),
      by: this.membership.getSelf().address,
      what: `plan of ${next.region}: ${changes.join('; ')}`,
      evidence: `configuration ${next.configurationRevision}, ${next.rows.length} entry VMs`,
      revision: commit.right.revision,
      epoch: role.epoch,
      expected: 'each target within its slots',
      outcome: '',
    });
  }
}
