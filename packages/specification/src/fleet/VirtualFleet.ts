/**
 * A fleet of virtual entry VMs with their store, VM list, roles and targets.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import Random from '@burdockcove/runtime/Random';
import type AuditRecord from '@burdockcove/types/AuditRecord';
import type Configuration from '@burdockcove/types/Configuration';
import type EntryVm from '@burdockcove/types/EntryVm';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import FleetMembers from './FleetMembers.js';
import type FleetOptions from './FleetOptions.js';
import FleetReplicas from './FleetReplicas.js';
import FleetRoles from './FleetRoles.js';
import LoadCounts from './LoadCounts.js';
import SlotTruth from './SlotTruth.js';
import VirtualLoad from './VirtualLoad.js';
import VirtualNetwork from './VirtualNetwork.js';
import VirtualNode from './VirtualNode.js';
import VirtualProcess from './VirtualProcess.js';
import VirtualReplica from './VirtualReplica.js';
import VirtualStore from './VirtualStore.js';
import VirtualTime from './VirtualTime.js';
import VirtualTransport from './VirtualTransport.js';

const CONFIGURATION_KEY = 'state/configuration';
const TICK_MS = 250;

/** Faults are methods; the truth about targets is kept apart from what the processes believe. */
export default class VirtualFleet {
  readonly time = new VirtualTime();

  readonly truth = new SlotTruth();

  readonly counts = new LoadCounts();

  readonly store: StoreStandIn;

  readonly network: VirtualNetwork;

  readonly members: FleetMembers;

  readonly roles: FleetRoles;

  readonly nodes = new Map<string, VirtualNode>();

  readonly decisions: AuditRecord[] = [];

  readonly failures: unknown[] = [];

  private readonly random: Random;

  private readonly replicas: FleetReplicas;

  private configurationRevision = 0;

  constructor(readonly options: FleetOptions) {
    this.random = new Random(options.seed);
    const [minDelayMs, maxDelayMs] = options.delayMs;
    const limits = { minDelayMs, maxDelayMs, lossShare: options.lossShare };
    this.network = new VirtualNetwork(this.time, this.random, limits);
    this.store = new StoreStandIn(new VirtualProcess(this.time, this.random, 1), {
      writesPerSecond: Infinity,
      readsPerSecond: Infinity,
    });
    this.members = new FleetMembers(this.time, this.network, this.nodes, options.listLagMs);
    this.roles = new FleetRoles(this.random, this.store, this.network, this.nodes);
    this.replicas = new FleetReplicas(
      this.time,
      this.random,
      this.store,
      this.network,
      this.nodes,
      options.replicaLagMs,
    );
  }

  /** Stores the configuration and starts every entry VM. */
  async start(): Promise<void> {
    await this.storeConfiguration(this.options.configuration);
    this.options.vms.forEach((vm) => this.members.listVm(vm));
    this.options.vms.forEach((vm) => this.startNode(vm));
    this.replicas.start();
    this.tick();
  }

  async runFor(ms: number): Promise<void> {
    await this.time.runUntil(this.time.getNowMs() + ms);
  }

  async storeConfiguration(configuration: Configuration): Promise<void> {
    this.noteTargets(configuration);
    const current = await this.store.readKey(CONFIGURATION_KEY)();
    const entry = isRight(current) && current.right._tag === 'Some' ? current.right.value : null;
    this.configurationRevision += 1;
    const accepted = {
      version: 1,
      revision: this.configurationRevision,
      changeId: String(this.configurationRevision),
      operator: 'simulation',
      reason: 'simulation',
      baseRevision: this.configurationRevision - 1,
      acceptedAt: '2026-01-01T00:00:00.000Z',
      configuration,
    };
    await this.store.commitTransaction({
      compares: [{ key: CONFIGURATION_KEY, revision: entry?.revision ?? 0 }],
      puts: [{ key: CONFIGURATION_KEY, value: JSON.stringify(accepted) }],
      deletes: [],
    })();
  }

  /** Starts a process at the VM's address; one that runs there is ended first. */
  startNode(vm: EntryVm): void {
    this.nodes.get(vm.address)?.kill();
    const rate = 1 + (2 * this.random.nextFloat() - 1) * this.options.timing.driftShare;
    const process = new VirtualProcess(this.time, this.random, rate);
    const replica = new VirtualReplica();
    this.replicas.copyFromPeer(vm.address, replica);
    const node = new VirtualNode(
      vm,
      process,
      replica,
      this.options,
      new Random(this.random.nextInt(2 ** 31)),
      new VirtualStore(vm.address, process, this.network, this.store),
      new VirtualTransport(vm.peerAddress, process, this.network, (address) =>
        this.nodes.get(address),
      ),
      { recordDecision: (record) => this.decisions.push(record) },
    );
    this.nodes.set(vm.address, node);
    this.members.update();
    node.start((error) => this.failures.push(error));
    new VirtualLoad(this.time, this.random, this.options, node, this.truth, this.counts).start();
  }

  private noteTargets(configuration: Configuration): void {
    const regions = new Map(configuration.failureDomains.map((each) => [each.name, each.region]));
    configuration.targets.forEach((target) => {
      const region = regions.get(target.failureDomain) ?? '';
      this.truth.addTarget(target.name, region, target.slots);
    });
    configuration.regions.forEach((region) => {
      const limits = Object.values(region.maxInFlight);
      if (limits.length > 0) {
        const sum = limits.reduce((total, limit) => total + limit, 0);
        this.truth.setRegionLimit(region.name, sum);
      }
    });
  }

  private tick(): void {
    this.members.update();
    this.roles.update();
    this.replicas.exchange();
    this.time.schedule(TICK_MS, () => this.tick());
  }
}
