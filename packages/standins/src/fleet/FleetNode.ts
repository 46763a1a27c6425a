/**
 * One entry VM of a fleet in memory: the real control code, started, stopped, paused and cut off at will.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import { Registry } from 'prom-client';
import ControlPlane from '@burdockcove/control/ControlPlane';
import LeaseRoleKeeper from '@burdockcove/control/roles/LeaseRoleKeeper';
import RendezvousCandidacy from '@burdockcove/control/roles/RendezvousCandidacy';
import type ExchangeTiming from '@burdockcove/control/exchange/ExchangeTiming';
import CountingStore from '@burdockcove/store/CountingStore';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import Supervisor from '@burdockcove/runtime/Supervisor';
import type EntryVm from '@burdockcove/types/EntryVm';
import type StoreStandIn from '../store/StoreStandIn.js';
import type VmListStandIn from '../vmList/VmListStandIn.js';
import type MemoryNetwork from './MemoryNetwork.js';
import PausableClock from './PausableClock.js';
import SeveredStore from './SeveredStore.js';

/** The surroundings that the nodes of one fleet share. */
interface FleetSurroundings {
  readonly clock: Clock;
  readonly store: StoreStandIn;
  readonly vmList: VmListStandIn;
  readonly network: MemoryNetwork;
  readonly vmListPollMs: number;
  readonly timing?: ExchangeTiming;
}

const logger = new Logger('silent', 'json');

/** A restart keeps nothing but the address. */
export default class FleetNode {
  readonly store: SeveredStore;

  clock: PausableClock;

  plane: ControlPlane | undefined;

  registry = new Registry();

  private abort = new AbortController();

  private starts = 0;

  constructor(
    readonly vm: EntryVm,
    private readonly surroundings: FleetSurroundings,
    private readonly seed: number,
  ) {
    this.store = new SeveredStore(surroundings.store);
    this.clock = new PausableClock(surroundings.clock);
  }

  /** Starts a new process at the address. */
  start(): void {
    this.starts += 1;
    this.abort = new AbortController();
    this.clock = new PausableClock(this.surroundings.clock);
    this.registry = new Registry();
    const { network } = this.surroundings;
    const random = new Random(this.seed + this.starts);
    const plane = new ControlPlane({
      ...this.surroundings,
      clock: this.clock,
      random,
      logger,
      registry: this.registry,
      self: this.vm,
      store: this.store,
      transports: network.getTransports(this.vm.peerAddress),
    });
    this.plane = plane;
    network.register(this.vm.peerAddress, [plane.registerRoutes]);
    const children = [...plane.children, ...this.buildRoles(plane, random)];
    const supervisor = new Supervisor('node', this.clock, logger, children);
    supervisor.run(this.abort.signal).catch(() => undefined);
  }

  /** Ends the process at once, without a word to anybody. */
  kill(): void {
    this.surroundings.network.remove(this.vm.peerAddress);
    this.abort.abort();
    this.plane = undefined;
  }

  isRunning(): boolean {
    return this.plane !== undefined;
  }

  isReady(): boolean {
    return this.plane?.replica.isReady() ?? false;
  }

  /** Revision of the configuration in force, zero where there is none. */
  getRevision(): number {
    const current = this.plane?.configuration.getCurrent();
    return current !== undefined && isSome(current) ? current.value.revision : 0;
  }

  private buildRoles({ membership, replica }: ControlPlane, random: Random): readonly Child[] {
    const { region } = this.vm;
    const store = new CountingStore(this.store, 'roles', this.registry);
    const isInformed = (): boolean => membership.hasList() && replica.isReady();
    const local = new RendezvousCandidacy(membership, region, isInformed);
    const anywhere = new RendezvousCandidacy(membership, '', isInformed);
    const planner = `planner/${region}`;
    return [
      new LeaseRoleKeeper(planner, this.clock, random, logger, store, local),
      new LeaseRoleKeeper('shift', this.clock, random, logger, store, anywhere),
    ];
  }
}
