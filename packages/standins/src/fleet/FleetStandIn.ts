/**
 * A fleet of entry VMs in one process: the real control code over a network in memory and the platform's stand-ins.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type ExchangeTiming from '@burdockcove/control/exchange/ExchangeTiming';
import type Clock from '@burdockcove/runtime/Clock';
import type EntryVm from '@burdockcove/types/EntryVm';
import type Vm from '@burdockcove/types/Vm';
import StoreStandIn from '../store/StoreStandIn.js';
import VmListStandIn from '../vmList/VmListStandIn.js';
import FleetNode from './FleetNode.js';
import MemoryNetwork from './MemoryNetwork.js';

const CALLER_PORT = 8080;
const PEER_PORT = 8081;
const VM_LIST_POLL_MS = 2_000;
const SEED_STEP = 1_000;
const VMS_PER_SUBNET = 250;

/** Where one VM is. */
interface FleetPlace {
  readonly region: string;
  readonly failureDomain: string;
}

interface FleetOptions {
  readonly clock: Clock;
  readonly seed: number;
  readonly networkDelayMs?: number;
  readonly vmListLagMs?: number;
  readonly vmListPollMs?: number;
  readonly timing?: ExchangeTiming;
}

function buildEntryVm(place: FleetPlace, index: number): EntryVm {
  const ip = `127.0.${1 + Math.floor(index / VMS_PER_SUBNET)}.${1 + (index % VMS_PER_SUBNET)}`;
  return { address: `${ip}:${CALLER_PORT}`, peerAddress: `${ip}:${PEER_PORT}`, ...place };
}

/** Nodes are in the order of the places; none runs until it is started. */
export default class FleetStandIn {
  readonly store: StoreStandIn;

  readonly vmList: VmListStandIn;

  readonly network: MemoryNetwork;

  readonly nodes: readonly FleetNode[];

  constructor(options: FleetOptions, places: readonly FleetPlace[]) {
    const { clock, timing } = options;
    this.store = new StoreStandIn(clock);
    this.vmList = new VmListStandIn(clock, options.vmListLagMs);
    this.network = new MemoryNetwork(clock, options.networkDelayMs);
    const surroundings = {
      clock,
      store: this.store,
      vmList: this.vmList,
      network: this.network,
      vmListPollMs: options.vmListPollMs ?? VM_LIST_POLL_MS,
      ...(timing === undefined ? {} : { timing }),
    };
    this.nodes = places.map(
      (place, index) =>
        new FleetNode(buildEntryVm(place, index), surroundings, options.seed + index * SEED_STEP),
    );
    this.vmList.setVms(this.nodes.map((node) => this.buildVm(node)));
  }

  /** The node as the VM list shows it. */
  buildVm({ vm }: FleetNode, state: Vm['state'] = 'live'): Vm {
    const { address, peerAddress, failureDomain } = vm;
    return { address, peerAddress, kind: 'entry', failureDomain, state };
  }

  startAll(): void {
    this.nodes.forEach((node) => node.start());
  }

  killAll(): void {
    this.nodes.filter((node) => node.isRunning()).forEach((node) => node.kill());
  }

  /** Writes a value to the store as an operator's tool does; returns the store's revision. */
  async putState(key: string, value: string): Promise<number> {
    const puts = [{ key, value }];
    const result = await this.store.commitTransaction({ compares: [], puts, deletes: [] })();
    if (!isRight(result)) {
      throw new Error(`write failed: ${result.left.detail}`);
    }
    return result.right.revision;
  }
}
