/**
 * The naive way of distribution: every VM lists, watches and checks the store by itself.
 */
import { Registry } from 'prom-client';
import StateReplica from '@burdockcove/control/replica/StateReplica';
import StoreFollower from '@burdockcove/control/replica/StoreFollower';
import type Store from '@burdockcove/store/Store';
import type Clock from '@burdockcove/runtime/Clock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';

const EVERY_VM = { isRelay: () => true, isAlone: () => false };
const logger = new Logger('silent', 'json');

/** The same follower as a relay's, at every VM, and no exchange with peers. */
export default class PollingNode {
  replica: StateReplica;

  private abort = new AbortController();

  constructor(
    private readonly clock: Clock,
    private readonly store: Store,
    private readonly seed: number,
  ) {
    this.replica = new StateReplica(clock, new Registry());
  }

  start(): void {
    const registry = new Registry();
    this.abort = new AbortController();
    this.replica = new StateReplica(this.clock, registry);
    const { clock, store, replica } = this;
    const random = new Random(this.seed);
    new StoreFollower(clock, random, logger, store, replica, EVERY_VM, registry)
      .run(this.abort.signal)
      .catch(() => undefined);
  }

  stop(): void {
    this.abort.abort();
  }
}
