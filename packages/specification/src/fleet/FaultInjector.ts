/**
 * Faults brought into a simulation.
 */
import Random from '@burdockcove/runtime/Random';
import type EntryVm from '@burdockcove/types/EntryVm';
import type FaultKind from './FaultKind.js';
import type VirtualFleet from './VirtualFleet.js';

const MAX_RESTART_MS = 3_000;
const MAX_PAUSE_MS = 12_000;
const MAX_CUT_MS = 6_000;
const MAX_OUTAGE_MS = 6_000;
const MAX_STORE_DELAY_MS = 3_000;
const MAX_LOST_ANSWERS = 3;
const LEAVE_MS = 5_000;

/** Draws who is struck and for how long from its own seed. */
export default class FaultInjector {
  private readonly random: Random;

  private replaced = 0;

  constructor(
    private readonly fleet: VirtualFleet,
    seed: number,
  ) {
    this.random = new Random(seed);
  }

  drawKind(kinds: readonly FaultKind[]): FaultKind | undefined {
    return kinds[this.random.nextInt(kinds.length)];
  }

  drawMs(maxMs: number): number {
    return this.random.nextFloat() * maxMs;
  }

  /** Brings the fault in; it ends by itself. */
  inject(kind: FaultKind): void {
    const actions: Readonly<Record<FaultKind, () => void>> = {
      restart: () => this.restart(),
      replace: () => this.replace(),
      pause: () => this.pause(),
      'cut-peer': () => this.cutPeers(1),
      'cut-store': () => this.cutFromStore(),
      isolate: () => this.cutPeers(Infinity),
      'store-down': () => this.takeStoreDown(),
      'store-slow': () => this.slowStore(),
      'lose-answers': () => this.fleet.store.loseAnswers(1 + this.random.nextInt(MAX_LOST_ANSWERS)),
      'lapse-role': () => this.lapseRole(),
      leave: () => this.leave(),
      'lower-slots': () => this.changeSlots(-1),
      'raise-slots': () => this.changeSlots(1),
      'new-weights': () => this.changeWeights(),
    };
    actions[kind]();
  }

  private after(ms: number, run: () => void): void {
    this.fleet.time.schedule(ms, run);
  }

  private drawVm(): EntryVm {
    const vms = [...this.fleet.nodes.values()]
      .filter((node) => !node.process.isEnded())
      .map((node) => node.vm);
    const vm = vms[this.random.nextInt(vms.length)];
    if (vm === undefined) {
      throw new Error('every entry VM of the simulation has ended');
    }
    return vm;
  }

  private restart(): void {
    const vm = this.drawVm();
    this.fleet.nodes.get(vm.address)?.kill();
    this.after(this.drawMs(MAX_RESTART_MS), () => this.fleet.startNode(vm));
  }

  private replace(): void {
    const vm = this.drawVm();
    this.fleet.nodes.get(vm.address)?.kill();
    this.fleet.members.scheduleRemoval(vm.address);
    this.replaced += 1;
    const address = `127.9.0.${this.replaced}:7000`;
    const fresh = { ...vm, address, peerAddress: address };
    this.after(this.drawMs(MAX_RESTART_MS), () => {
      this.fleet.members.scheduleListing(fresh, 'live');
      this.fleet.startNode(fresh);
    });
  }

  private pause(): void {
    const node = this.fleet.nodes.get(this.drawVm().address);
    node?.process.pause();
    this.after(this.drawMs(MAX_PAUSE_MS), () => node?.process.resume());
  }

  private cutPeers(limit: number): void {
    const vm = this.drawVm();
    const others = [...this.fleet.nodes.keys()].filter((address) => address !== vm.address);
    const first = this.random.nextInt(others.length);
    const struck = [...others.slice(first), ...others.slice(0, first)].slice(0, limit);
    struck.forEach((other) => this.fleet.network.cutBetween(vm.address, other));
    this.after(this.drawMs(MAX_CUT_MS), () =>
      struck.forEach((other) => this.fleet.network.mendBetween(vm.address, other)),
    );
  }

  private cutFromStore(): void {
    const { address } = this.drawVm();
    this.fleet.network.cutFromStore(address);
    this.after(this.drawMs(MAX_CUT_MS), () => this.fleet.network.mendToStore(address));
  }

  private takeStoreDown(): void {
    this.fleet.store.setDown(true);
    this.after(this.drawMs(MAX_OUTAGE_MS), () => this.fleet.store.setDown(false));
  }

  private slowStore(): void {
    this.fleet.store.setDelay(this.drawMs(MAX_STORE_DELAY_MS));
    this.after(this.drawMs(MAX_OUTAGE_MS), () => this.fleet.store.setDelay(0));
  }

  private lapseRole(): void {
    const regions = this.fleet.options.configuration.regions.map(({ name }) => `planner/${name}`);
    const roles = [...regions, 'shift'];
    this.fleet.roles.lapse(roles[this.random.nextInt(roles.length)] ?? 'shift');
  }

  private leave(): void {
    const vm = this.drawVm();
    this.fleet.members.scheduleListing(vm, 'leaving');
    this.after(LEAVE_MS, () => this.fleet.members.scheduleListing(vm, 'live'));
  }

  private changeSlots(change: number): void {
    const configuration = this.fleet.getConfiguration();
    const struck = this.random.nextInt(configuration.targets.length);
    const targets = configuration.targets.map((target, index) =>
      index === struck ? { ...target, slots: Math.max(1, target.slots + change) } : target,
    );
    this.fleet.storeConfiguration({ ...configuration, targets }).catch(() => undefined);
  }

  private changeWeights(): void {
    const configuration = this.fleet.getConfiguration();
    const selectors = configuration.selectors.map((selector) => ({
      ...selector,
      routes: selector.routes.map((route) => ({ ...route, weight: this.random.nextInt(4) })),
    }));
    this.fleet.storeConfiguration({ ...configuration, selectors }).catch(() => undefined);
  }
}
