/**
 * A fleet of virtual entry VMs with their store, VM list, roles and targets.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import { toUndefined } from 'fp-ts/lib/Option.js';
import Random from '@burdockcove/runtime/Random';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type AuditRecord from '@burdockcove/types/AuditRecord';
import type Configuration from '@burdockcove/types/Configuration';
import type EntryVm from '@burdockcove/types/EntryVm';
import type Route from '@burdockcove/types/Route';
import type RegionPlan from '@burdockcove/shares/RegionPlan';
import getPlanKey from '@burdockcove/shares/getPlanKey';
import buildInitialShift from '@burdockcove/shares/shift/buildInitialShift';
import getShiftKey from '@burdockcove/shares/shift/getShiftKey';
import parseRegionPlan from '@burdockcove/shares/parseRegionPlan';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import FleetMembers from './FleetMembers.js';
import type FleetOptions from './FleetOptions.js';
import FleetReplicas from './FleetReplicas.js';
import FleetRoles from './FleetRoles.js';
import LoadCounts from './LoadCounts.js';
import ShiftTruth from './ShiftTruth.js';
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
const MS_PER_SECOND = 1_000;

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

  /** Weights in force at every entry VM, by how much they moved. */
  readonly shiftTruth: ShiftTruth;

  constructor(readonly options: FleetOptions) {
    this.random = new Random(options.seed);
    const windowSeconds = options.configuration.selectors[0]?.shift.windowSeconds ?? 0;
    this.shiftTruth = new ShiftTruth(windowSeconds * MS_PER_SECOND);
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

  /** The configuration as the store has it. */
  getConfiguration(): Configuration {
    const entry = this.replicas.getNewest(CONFIGURATION_KEY);
    return entry === undefined
      ? this.options.configuration
      : (JSON.parse(entry.value) as AcceptedConfiguration).configuration;
  }

  /** Stores the next configuration; has no effect while the store is down. */
  async storeConfiguration(configuration: Configuration): Promise<void> {
    if (this.store.isDown()) {
      return;
    }
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
    const isFirst = entry === null;
    await this.store.commitTransaction({
      compares: [{ key: CONFIGURATION_KEY, revision: entry?.revision ?? 0 }],
      puts: [
        { key: CONFIGURATION_KEY, value: JSON.stringify(accepted) },
        ...(isFirst ? this.buildShiftPuts(configuration) : []),
      ],
      deletes: [],
    })();
  }

  /** Starts a process at the VM's address; one that runs there is ended first. */
  startNode(vm: EntryVm): void {
    this.nodes.get(vm.address)?.kill();
    const rate = 1 + (2 * this.random.nextFloat() - 1) * this.options.timing.clockDriftRatio;
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
    this.options.prepareNode?.(node);
    node.start((error) => this.failures.push(error));
    node.positions.subscribe(() => this.noteRoutes());
    new VirtualLoad(this.time, this.random, this.options, node, this.truth, this.counts).start();
  }

  /** As the operators' tool does, the first configuration brings the first shift records with it. */
  private buildShiftPuts(
    configuration: Configuration,
  ): readonly { readonly key: string; readonly value: string }[] {
    return configuration.selectors.map((selector) => ({
      key: getShiftKey(selector.name),
      value: JSON.stringify(buildInitialShift(selector, this.configurationRevision, '')),
    }));
  }

  /** The region's plan as the store has it. */
  readPlan(region: string): RegionPlan | undefined {
    const entry = this.replicas.getNewest(getPlanKey(region));
    return entry === undefined ? undefined : toUndefined(parseRegionPlan(entry.value));
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

  /** A target's lower number of slots holds from when no plan in the store allows more. */
  private lowerTargets(): void {
    const { regions, targets } = this.getConfiguration();
    const held = new Map<string, number>();
    regions.forEach(({ name }) => {
      const plan = this.readPlan(name);
      plan?.targets.forEach((target, index) => {
        const slots = plan.rows.reduce((sum, row) => sum + (row.held[index] ?? 0), 0);
        held.set(target, (held.get(target) ?? 0) + slots);
      });
    });
    targets
      .filter(({ name, slots }) => (held.get(name) ?? 0) <= slots)
      .forEach(({ name, slots }) => this.truth.lowerTarget(name, slots));
  }

  private noteRoutes(): void {
    const [selector] = this.options.configuration.selectors;
    const routes = [...this.nodes].map(([address, node]): [string, readonly Route[]] => [
      address,
      node.positions.getRoutes(selector?.name ?? ''),
    ]);
    this.shiftTruth.noteRoutes(this.time.getNowMs(), new Map(routes));
  }

  private tick(): void {
    this.members.update();
    this.lowerTargets();
    this.roles.update();
    this.replicas.exchange();
    this.time.schedule(TICK_MS, () => this.tick());
  }
}
