/**
 * The entry VMs as this one knows them: the lagging VM list, corrected by what entry VMs say of each other.
 */
import type { Registry } from 'prom-client';
import type Clock from '@burdockcove/runtime/Clock';
import type EntryVm from '@burdockcove/types/EntryVm';
import type Member from '@burdockcove/types/Member';
import type Membership from '@burdockcove/types/Membership';
import type Vm from '@burdockcove/types/Vm';
import registerGauge from '../registerGauge.js';
import MemberTable from './MemberTable.js';
import type MemberRecord from './MemberRecord.js';
import NewsQueue from './NewsQueue.js';
import TargetList from './TargetList.js';

/** Region of a failure domain by the configuration, or an empty text. */
type RegionOf = (failureDomain: string) => string;

/** Members change through `applyList`, `mergeRecord` and the outcome of exchanges. */
export default class GossipMembership implements Membership {
  readonly table: MemberTable;

  /** Changes still to be told to others. */
  readonly news = new NewsQueue();

  private readonly targets = new TargetList();

  private readonly listeners = new Set<() => void>();

  private readonly leavingListeners = new Set<() => void>();

  private cached: readonly Member[] | undefined;

  private incarnation: number;

  private leaving = false;

  private listLoaded = false;

  constructor(
    clock: Clock,
    private readonly self: EntryVm,
    private readonly regionOf: RegionOf,
    registry: Registry,
  ) {
    this.incarnation = Math.max(1, clock.getWallMs());
    this.table = new MemberTable(clock, self.address, (record) => this.noteChange(record));
    this.registerMetrics(registry);
  }

  getSelf(): EntryVm {
    return this.self;
  }

  getMembers(): readonly Member[] {
    this.cached ??= this.buildMembers();
    return this.cached;
  }

  isTargetLeaving(address: string): boolean {
    return this.targets.isLeaving(address);
  }

  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Whether a VM list was read since the start. */
  hasList(): boolean {
    return this.listLoaded;
  }

  /** Takes in a list that names at least one VM; an empty one is taken for faulty. */
  applyList(vms: readonly Vm[]): void {
    if (vms.length === 0) {
      return;
    }
    this.listLoaded = true;
    this.table.applyList(vms.filter(({ kind }) => kind === 'entry'));
    this.targets.applyList(vms.filter(({ kind }) => kind === 'target'));
    this.noteChange();
  }

  /** Says that this VM is leaving; `ControlPlane` tells many others at once, and they tell the rest. */
  startLeaving(): void {
    this.leaving = true;
    this.raiseIncarnation(this.incarnation);
    this.leavingListeners.forEach((listener) => listener());
  }

  /** Calls the listener when this VM starts to leave. */
  subscribeLeaving(listener: () => void): void {
    this.leavingListeners.add(listener);
  }

  isLeaving(): boolean {
    return this.leaving;
  }

  /** This VM's own word on itself. */
  getSelfRecord(): MemberRecord {
    const { address, peerAddress, region, failureDomain } = this.self;
    const { incarnation, leaving } = this;
    return { address, peerAddress, region, failureDomain, incarnation, leaving, health: 'alive' };
  }

  /** Takes in another VM's word; what is said of this VM itself is contradicted by a higher incarnation. */
  mergeRecord(record: MemberRecord): void {
    if (record.address !== this.self.address) {
      this.table.mergeRecord(record);
      return;
    }
    const contradicts = record.health !== 'alive' || record.leaving !== this.leaving;
    if (record.incarnation > this.incarnation) {
      this.raiseIncarnation(record.incarnation);
    } else if (record.incarnation === this.incarnation && contradicts) {
      this.raiseIncarnation(this.incarnation);
    }
  }

  /** Takes in what another VM says of itself, heard from it directly. */
  mergeDirect(record: MemberRecord): void {
    if (record.address !== this.self.address) {
      this.table.mergeDirect(record);
    }
  }

  /** Calls every listener, for a change outside the table such as newly known regions. */
  noteChange(record?: MemberRecord): void {
    if (record !== undefined) {
      this.news.addRecord(record);
    }
    this.cached = undefined;
    this.listeners.forEach((listener) => listener());
  }

  private raiseIncarnation(above: number): void {
    this.incarnation = above + 1;
    this.noteChange(this.getSelfRecord());
  }

  private buildMembers(): readonly Member[] {
    const self: Member = {
      ...this.self,
      state: this.leaving ? 'leaving' : 'live',
      reachable: true,
    };
    const others = this.table.listRows().map(({ record, listedLeaving }): Member => {
      const { address, peerAddress, failureDomain } = record;
      const region = record.region || this.regionOf(failureDomain);
      const state = record.leaving || listedLeaving ? 'leaving' : 'live';
      const reachable = record.health !== 'unreachable';
      return { address, peerAddress, failureDomain, region, state, reachable };
    });
    return [self, ...others];
  }

  private registerMetrics(registry: Registry): void {
    const countWhere = (isCounted: (member: Member) => boolean): number =>
      this.getMembers().filter(isCounted).length;
    registerGauge(registry, 'burdockcove_members', 'Entry VMs known', () => countWhere(() => true));
    registerGauge(registry, 'burdockcove_members_unreachable', 'Entry VMs that nobody hears', () =>
      countWhere(({ reachable }) => !reachable),
    );
    registerGauge(registry, 'burdockcove_members_leaving', 'Entry VMs that are leaving', () =>
      countWhere(({ state }) => state === 'leaving'),
    );
  }
}
