/**
 * Distribution and membership of one process, put together.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import CountingStore from '@burdockcove/store/CountingStore';
import type Child from '@burdockcove/runtime/Child';
import type ControlOptions from './ControlOptions.js';
import StoreConfigurationSource from './configuration/StoreConfigurationSource.js';
import DEFAULT_EXCHANGE_TIMING from './exchange/DEFAULT_EXCHANGE_TIMING.js';
import ExchangeService from './exchange/ExchangeService.js';
import ExchangeTask from './exchange/ExchangeTask.js';
import FailureDetector from './exchange/FailureDetector.js';
import JoinTask from './exchange/JoinTask.js';
import PeerExchanger from './exchange/PeerExchanger.js';
import ProbeOrder from './exchange/ProbeOrder.js';
import GossipMembership from './membership/GossipMembership.js';
import RelaySet from './membership/RelaySet.js';
import VmListTask from './membership/VmListTask.js';
import type RouteRegistrar from './peer/RouteRegistrar.js';
import RelayFollower from './replica/RelayFollower.js';
import StateReplica from './replica/StateReplica.js';
import StoreFollower from './replica/StoreFollower.js';

/** Run `children` in their order, after a `PeerServer` that serves `registerRoutes`. */
export default class ControlPlane {
  readonly replica: StateReplica;

  readonly membership: GossipMembership;

  readonly configuration: StoreConfigurationSource;

  readonly registerRoutes: RouteRegistrar;

  readonly children: readonly Child[];

  private readonly exchangeTask: ExchangeTask;

  constructor(options: ControlOptions) {
    const { clock, random, logger, registry, transports } = options;
    const timing = options.timing ?? DEFAULT_EXCHANGE_TIMING;
    this.replica = new StateReplica(clock, registry);
    this.configuration = new StoreConfigurationSource(this.replica, logger, registry);
    const regionOf = (domain: string): string => this.findRegion(domain);
    this.membership = new GossipMembership(clock, options.self, regionOf, registry);
    this.configuration.subscribe(() => this.membership.noteChange());
    const { membership, replica } = this;
    const order = new ProbeOrder(random, membership);
    const exchanger = new PeerExchanger(clock, transports, membership, replica, timing, registry);
    const detector = new FailureDetector(clock, membership, exchanger, order, timing);
    this.exchangeTask = new ExchangeTask(clock, random, logger, exchanger, detector, order, timing);
    const fetchFrom = (peer: string): void => this.exchangeTask.fetchFrom(peer);
    const service = new ExchangeService(clock, membership, replica, exchanger, fetchFrom);
    this.registerRoutes = service.registerRoutes;
    membership.subscribeLeaving(() => this.exchangeTask.announceLeaving());
    const relays = new RelaySet(clock, membership);
    const store = new CountingStore(options.store, 'replica', registry);
    const { vmList, vmListPollMs } = options;
    this.children = [
      new VmListTask(clock, random, logger, vmList, membership, vmListPollMs, registry),
      new StoreFollower(clock, random, logger, store, replica, relays, registry),
      new RelayFollower(clock, random, logger, transports, relays, replica),
      this.exchangeTask,
      new JoinTask(clock, logger, exchanger, order, replica, registry),
    ];
  }

  private findRegion(failureDomain: string): string {
    const current = this.configuration.getCurrent();
    const domains = isSome(current) ? current.value.configuration.failureDomains : [];
    return domains.find(({ name }) => name === failureDomain)?.region ?? '';
  }
}
