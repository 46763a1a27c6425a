/**
 * Opens connections to the owners that this VM will ask, so that the first requests of a customer do not wait for them.
 *
 * An owner is called without portions, which earlier versions answer as well. A connection that is not used is closed
 * when it is idle, and opened by the next call.
 */
import type MemberTable from '@burdockcove/fleet/MemberTable';
import type Clock from '@burdockcove/runtime/Clock';
import getPartKey from './getPartKey.js';
import PartWalk from './PartWalk.js';
import type QuotaClient from './QuotaClient.js';
import type QuotaCounts from './QuotaCounts.js';
import type QuotaTable from './QuotaTable.js';
import VmOrder from './VmOrder.js';

/** Connections opened in one step, so that a process that starts is not kept from its other work. */
const OPENED_PER_STEP = 8;
/** Limit on owners that are remembered as called. */
const MAX_OPENED = 128;
const TIMEOUT_MS = 800;

interface OwnerConnectorDependencies {
  readonly members: MemberTable;
  readonly table: QuotaTable;
  readonly client: QuotaClient;
  readonly counts: QuotaCounts;
  readonly clock: Clock;
}

/** Each owner is called once as long as it is a member. */
export default class OwnerConnector {
  private readonly opened = new Set<string>();

  private readonly queue = new Set<string>();

  private readonly walk = new PartWalk();

  private readonly order: VmOrder;

  private membersVersion = -1;

  constructor(private readonly dependencies: OwnerConnectorDependencies) {
    this.order = new VmOrder(dependencies.members);
  }

  /** Calls a few of the owners that were not called yet; to be repeated. */
  openConnections(): void {
    const { members, table } = this.dependencies;
    this.forgetFormer();
    const version = members.countChanges() + table.countChanges();
    this.walk
      .takeStep(version, table.listCustomers(), members.countMembers())
      .forEach((customer) => this.enqueueOwner(customer));
    [...this.queue].slice(0, OPENED_PER_STEP).forEach((address) => this.open(address));
  }

  private enqueueOwner(customer: string): void {
    const { members, table, clock } = this.dependencies;
    const parts = table.getQuota(customer, clock.getMonotonicMs())?.parts ?? 1;
    const part = this.order.choosePart(parts, false);
    const [owner] = members.rankFirst(getPartKey(customer, part));
    const address = owner?.name === members.self.name ? undefined : owner?.stateAddress;
    const count = this.opened.size + this.queue.size;
    if (address !== undefined && !this.opened.has(address) && count < MAX_OPENED) {
      this.queue.add(address);
    }
  }

  private open(address: string): void {
    const { client, counts } = this.dependencies;
    this.queue.delete(address);
    this.opened.add(address);
    counts.calls += 1;
    client
      .requestPortions(address, [], TIMEOUT_MS)()
      .catch(() => undefined);
  }

  /** A VM that is a member again has been restarted, so that its connections have ended. */
  private forgetFormer(): void {
    const { members } = this.dependencies;
    if (this.membersVersion === members.countChanges()) {
      return;
    }
    this.membersVersion = members.countChanges();
    const present = new Set(members.listMembers().map(({ stateAddress }) => stateAddress));
    [this.opened, this.queue].forEach((addresses) => {
      addresses.forEach((address) => {
        if (!present.has(address)) {
          addresses.delete(address);
        }
      });
    });
  }
}
