/**
 * The VM list of a simulation and what entry VMs see of each other.
 */
import type EntryVm from '@burdockcove/types/EntryVm';
import type Member from '@burdockcove/types/Member';
import type VmState from '@burdockcove/types/VmState';
import type VirtualNetwork from './VirtualNetwork.js';
import type VirtualNode from './VirtualNode.js';
import type VirtualTime from './VirtualTime.js';

/** An entry VM unheard for this long counts as unreachable, in milliseconds. */
const FAILURE_TIMEOUT_MS = 2_000;

interface ListedVm {
  readonly vm: EntryVm;
  readonly state: VmState;
}

/** The list lags; an entry VM that is not listed is a member while it is heard. */
export default class FleetMembers {
  private readonly listed = new Map<string, ListedVm>();

  private readonly known = new Map<string, EntryVm>();

  /** VMs that are gone for good. */
  private readonly removed = new Set<string>();

  /** Time at which the first of the two last heard the second. */
  private readonly heardAtMs = new Map<string, number>();

  constructor(
    private readonly time: VirtualTime,
    private readonly network: VirtualNetwork,
    private readonly nodes: ReadonlyMap<string, VirtualNode>,
    private readonly listLagMs: number,
  ) {}

  listVm(vm: EntryVm, state: VmState = 'live'): void {
    this.known.set(vm.address, vm);
    this.listed.set(vm.address, { vm, state });
  }

  /** Lets the list name the VM after its lag. */
  scheduleListing(vm: EntryVm, state: VmState): void {
    this.known.set(vm.address, vm);
    this.time.schedule(this.listLagMs, () => {
      if (!this.removed.has(vm.address)) {
        this.listVm(vm, state);
      }
    });
  }

  /** Lets the list drop the VM after its lag. */
  scheduleRemoval(address: string): void {
    this.removed.add(address);
    this.time.schedule(this.listLagMs, () => this.listed.delete(address));
  }

  /** Sets the members that each running process sees. */
  update(): void {
    this.nodes.forEach((node) => {
      if (node.process.isRunning()) {
        node.membership.setMembers(this.buildMembers(node.vm.address));
      }
    });
  }

  private buildMembers(viewer: string): readonly Member[] {
    const members = [...this.known.values()].map((vm): Member => {
      const state = this.listed.get(vm.address)?.state ?? 'live';
      return { ...vm, state, reachable: this.isHeard(viewer, vm.address) };
    });
    return members.filter((member) => member.reachable || this.listed.has(member.address));
  }

  private isHeard(viewer: string, address: string): boolean {
    const key = `${viewer} ${address}`;
    const nowMs = this.time.getNowMs();
    if (this.isConnected(viewer, address)) {
      this.heardAtMs.set(key, nowMs);
    }
    return nowMs - (this.heardAtMs.get(key) ?? -Infinity) < FAILURE_TIMEOUT_MS;
  }

  /** True where the viewer hears the VM itself or another entry VM that does. */
  private isConnected(viewer: string, address: string): boolean {
    if (viewer === address) {
      return true;
    }
    const running = [...this.nodes].filter(([, node]) => node.process.isRunning());
    const names = running.map(([name]) => name);
    return (
      names.includes(address) &&
      names.some((name) => !this.network.isCut(viewer, name) && !this.network.isCut(name, address))
    );
  }
}
