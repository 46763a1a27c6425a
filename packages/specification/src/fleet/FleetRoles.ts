/**
 * The roles of a simulation.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type Random from '@burdockcove/runtime/Random';
import type StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import type VirtualNetwork from './VirtualNetwork.js';
import type VirtualNode from './VirtualNode.js';

/** Updates for which a lost holder's lease still lives. */
const LEASE_UPDATES = 12;

/** Chance, at each update, that a former holder finds out that it lost the role. */
const FIND_OUT_SHARE = 0.05;

interface Holding {
  readonly address: string;
  readonly epoch: number;
  readonly lostUpdates: number;
}

/**
 * Grants each role to an entry VM that reaches the store. A holder that is paused or cut off loses
 * it after a while but is not told, so that two may believe they hold it.
 */
export default class FleetRoles {
  private readonly holdings = new Map<string, Holding>();

  /** Roles whose grant is being written. */
  private readonly writing = new Set<string>();

  constructor(
    private readonly random: Random,
    private readonly store: StoreStandIn,
    private readonly network: VirtualNetwork,
    private readonly nodes: ReadonlyMap<string, VirtualNode>,
  ) {}

  /** The address of the role's holder by the store. */
  getHolder(role: string): string | undefined {
    return this.holdings.get(role)?.address;
  }

  update(): void {
    const names = new Set([...this.nodes.values()].flatMap((node) => [...node.roles.keys()]));
    names.forEach((role) => {
      this.updateRole(role);
      this.clearFormer(role);
    });
  }

  /** Takes the role from its holder without a word to it. */
  lapse(role: string): void {
    const holding = this.holdings.get(role);
    if (holding !== undefined) {
      this.holdings.set(role, { ...holding, lostUpdates: LEASE_UPDATES });
    }
  }

  private updateRole(role: string): void {
    const holding = this.holdings.get(role);
    const holder = this.nodes.get(holding?.address ?? '');
    const held = holder?.roles.get(role)?.getHeldRole();
    if (holding !== undefined && holder !== undefined && held?._tag === 'Some') {
      const isLost = held.value.epoch !== holding.epoch || !this.canHold(holder);
      const lostUpdates = isLost ? holding.lostUpdates + 1 : holding.lostUpdates;
      this.holdings.set(role, { ...holding, lostUpdates });
      if (lostUpdates < LEASE_UPDATES) {
        return;
      }
    }
    this.grantRole(role, holding?.address);
  }

  /** A former holder finds out late. */
  private clearFormer(role: string): void {
    this.nodes.forEach((node) => {
      const isHolder = node.vm.address === this.getHolder(role);
      if (!isHolder && this.canHold(node) && this.random.nextFloat() < FIND_OUT_SHARE) {
        node.roles.get(role)?.clearHeld();
      }
    });
  }

  private canHold(node: VirtualNode): boolean {
    return node.process.isRunning() && !this.network.isCutFromStore(node.vm.address);
  }

  private grantRole(role: string, former: string | undefined): void {
    const candidates = [...this.nodes.values()].filter(
      (node) => node.roles.has(role) && node.vm.address !== former && this.canHold(node),
    );
    const chosen = candidates[this.random.nextInt(candidates.length)];
    if (chosen !== undefined && !this.store.isDown() && !this.writing.has(role)) {
      this.writing.add(role);
      this.writeRole(role, chosen).finally(() => this.writing.delete(role));
    }
  }

  private async writeRole(role: string, node: VirtualNode): Promise<void> {
    const key = `roles/${role}`;
    const current = await this.store.readKey(key)();
    const entry = isRight(current) && current.right._tag === 'Some' ? current.right.value : null;
    const commit = await this.store.commitTransaction({
      compares: [{ key, revision: entry?.revision ?? 0 }],
      puts: [{ key, value: node.vm.address }],
      deletes: [],
    })();
    if (isRight(commit) && commit.right.committed) {
      const epoch = commit.right.revision;
      this.holdings.set(role, { address: node.vm.address, epoch, lostUpdates: 0 });
      node.process.deliver(() => node.roles.get(role)?.setHeld(epoch));
    }
  }
}
