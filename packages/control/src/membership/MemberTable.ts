/**
 * All entry VMs that this one knows, from the VM list and from their own and others' words.
 */
import type Clock from '@burdockcove/runtime/Clock';
import type Vm from '@burdockcove/types/Vm';
import type MemberHealth from './MemberHealth.js';
import type MemberRecord from './MemberRecord.js';
import isNewerRecord from './isNewerRecord.js';

/** Dropped VMs whose old records are still refused. */
const MAX_DROPPED = 4_096;

interface MemberRow {
  record: MemberRecord;
  /** Whether the VM list names it now. */
  listed: boolean;
  /** Whether the VM list calls it leaving. */
  listedLeaving: boolean;
  /** Monotonic time of the last change of health, in milliseconds. */
  changedMs: number;
}

/** This VM's own record is not in the table. */
export default class MemberTable {
  private readonly rows = new Map<string, MemberRow>();

  private readonly addressOfPeer = new Map<string, string>();

  /** Addresses dropped, with the incarnation last known. */
  private readonly dropped = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly selfAddress: string,
    private readonly onChange: (record: MemberRecord) => void,
  ) {}

  getRow(address: string): Readonly<MemberRow> | undefined {
    return this.rows.get(address);
  }

  /** The record of the VM with that peer address. */
  findByPeerAddress(peerAddress: string): MemberRecord | undefined {
    const address = this.addressOfPeer.get(peerAddress);
    return address === undefined ? undefined : this.rows.get(address)?.record;
  }

  listRows(): readonly Readonly<MemberRow>[] {
    return [...this.rows.values()];
  }

  count(): number {
    return this.rows.size;
  }

  /** Takes in the entry VMs of a list; VMs that it lacks are kept while they are heard. */
  applyList(vms: readonly Vm[]): void {
    this.rows.forEach((row) => Object.assign(row, { listed: false, listedLeaving: false }));
    vms
      .filter(({ address }) => address !== this.selfAddress)
      .forEach((vm) => this.applyListedVm(vm));
    this.dropUnlisted();
  }

  /**
   * Takes in a record from another VM; returns whether it was news. What another calls unreachable is only suspected
   * here, so that the VM has the failure timeout to contradict.
   */
  mergeRecord(told: MemberRecord): boolean {
    const health = told.health === 'unreachable' ? 'suspect' : told.health;
    const record: MemberRecord = { ...told, health };
    const row = this.rows.get(record.address);
    const known = row?.record;
    if (known === undefined && record.incarnation <= (this.dropped.get(record.address) ?? -1)) {
      return false;
    }
    if (known !== undefined && !isNewerRecord(record, known)) {
      return false;
    }
    this.setRecord({ ...record, region: record.region || (known?.region ?? '') }, row);
    this.dropUnlisted();
    return true;
  }

  /** Takes in a VM's word on itself, heard from it directly, which shows that it is alive. */
  mergeDirect(record: MemberRecord): void {
    const row = this.rows.get(record.address);
    if (row === undefined || record.incarnation > row.record.incarnation) {
      this.dropped.delete(record.address);
      this.setRecord({ ...record, health: 'alive' }, row);
    } else if (record.incarnation === row.record.incarnation) {
      this.setHealth(record.address, 'alive');
    }
  }

  /** Marks members unreachable that have been suspect for longer than the timeout. */
  expireSuspects(timeoutMs: number): void {
    const suspectSinceMs = this.clock.getMonotonicMs() - timeoutMs;
    this.listRows()
      .filter(({ record, changedMs }) => record.health === 'suspect' && changedMs <= suspectSinceMs)
      .forEach(({ record }) => this.setHealth(record.address, 'unreachable'));
  }

  /** Gives every suspect the whole timeout again, after this process itself was paused. */
  renewSuspects(): void {
    const changedMs = this.clock.getMonotonicMs();
    this.rows.forEach((row) => Object.assign(row, { changedMs }));
  }

  /** Changes the health of a VM where the change is news. */
  setHealth(address: string, health: MemberHealth): void {
    const row = this.rows.get(address);
    if (row !== undefined && row.record.health !== health) {
      this.setRecord({ ...row.record, health }, row);
      this.dropUnlisted();
    }
  }

  private applyListedVm(vm: Vm): void {
    const leaving = vm.state === 'leaving';
    const row = this.rows.get(vm.address);
    if (row !== undefined) {
      Object.assign(row, { listed: true, listedLeaving: leaving });
      return;
    }
    const record: MemberRecord = {
      address: vm.address,
      peerAddress: vm.peerAddress ?? vm.address,
      failureDomain: vm.failureDomain,
      region: '',
      incarnation: 0,
      leaving: false,
      health: 'alive',
    };
    this.addressOfPeer.set(record.peerAddress, vm.address);
    this.rows.set(vm.address, {
      record,
      listed: true,
      listedLeaving: leaving,
      changedMs: this.clock.getMonotonicMs(),
    });
  }

  private setRecord(record: MemberRecord, row: MemberRow | undefined): void {
    const changedMs = this.clock.getMonotonicMs();
    this.addressOfPeer.set(record.peerAddress, record.address);
    if (row === undefined) {
      const { address } = record;
      this.rows.set(address, { record, listed: false, listedLeaving: false, changedMs });
    } else {
      Object.assign(row, { record, changedMs });
    }
    this.onChange(record);
  }

  /** Forgets VMs that neither the list names nor anybody hears. */
  private dropUnlisted(): void {
    [...this.rows.values()]
      .filter(({ listed, record }) => !listed && record.health === 'unreachable')
      .forEach(({ record }) => this.drop(record));
  }

  private drop(record: MemberRecord): void {
    this.rows.delete(record.address);
    this.addressOfPeer.delete(record.peerAddress);
    this.dropped.delete(record.address);
    this.dropped.set(record.address, record.incarnation);
    const [oldest] = this.dropped.keys();
    if (this.dropped.size > MAX_DROPPED && oldest !== undefined) {
      this.dropped.delete(oldest);
    }
  }
}
