/**
 * Distribution of the store's entries to the replicas of a simulation.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type Random from '@burdockcove/runtime/Random';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import type VirtualNetwork from './VirtualNetwork.js';
import type VirtualNode from './VirtualNode.js';
import type VirtualReplica from './VirtualReplica.js';
import type VirtualTime from './VirtualTime.js';

const PREFIX = 'state/';
const WATCH_RETRY_MS = 500;

/** Changes reach replicas late and out of order; peers exchange what they have. */
export default class FleetReplicas {
  private readonly newest = new Map<string, StoreEntry>();

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    private readonly store: StoreStandIn,
    private readonly network: VirtualNetwork,
    private readonly nodes: ReadonlyMap<string, VirtualNode>,
    private readonly lagMs: number,
  ) {}

  /** Follows the store for the rest of the run. */
  start(): void {
    this.watchStore().catch(() => undefined);
  }

  /** The entry as the store has it. */
  getNewest(key: string): StoreEntry | undefined {
    return this.newest.get(key);
  }

  /** Each replica gets what another one has, or now and then what the store has. */
  exchange(): void {
    const nodes = [...this.nodes.values()].filter((node) => node.process.isRunning());
    nodes.forEach((node) => {
      const peer = nodes[this.random.nextInt(nodes.length)];
      if (peer !== undefined && !this.network.isCut(node.vm.address, peer.vm.address)) {
        peer.replica.listEntries(PREFIX).forEach((entry) => this.sendEntry(node, entry));
      }
    });
  }

  /** Gives a starting process what a random peer has, which may be old. */
  copyFromPeer(address: string, replica: VirtualReplica): void {
    const peers = [...this.nodes.values()].filter(
      (node) => node.process.isRunning() && !this.network.isCut(node.vm.address, address),
    );
    const peer = peers[this.random.nextInt(peers.length)];
    peer?.replica.listEntries(PREFIX).forEach((entry) => replica.applyEntry(entry));
  }

  private async watchStore(): Promise<void> {
    const listed = await this.store.listKeys(PREFIX)();
    const from = isRight(listed) ? listed.right.revision + 1 : 1;
    if (isRight(listed)) {
      listed.right.entries.forEach((entry) => this.sendToAll(entry));
    }
    const ended = this.store.watchPrefix(
      PREFIX,
      from,
      (event) => {
        if (event._tag === 'Put') {
          this.sendToAll(event.entry);
        }
      },
      new AbortController().signal,
    )();
    await ended;
    this.time.schedule(WATCH_RETRY_MS, () => this.start());
  }

  private sendToAll(entry: StoreEntry): void {
    this.newest.set(entry.key, entry);
    this.nodes.forEach((node) => {
      if (!this.network.isCutFromStore(node.vm.address)) {
        this.sendEntry(node, entry);
      }
    });
  }

  private sendEntry(node: VirtualNode, entry: StoreEntry): void {
    this.time.schedule(this.random.nextFloat() * this.lagMs, () =>
      node.process.deliver(() => node.replica.applyEntry(entry)),
    );
  }
}
