/**
 * One entry VM of a simulation: its registration, its view of the members, its owner and its gate.
 */
import { left, right } from 'fp-ts/lib/Either.js';
import MemberTable from '@burdockcove/fleet/MemberTable';
import StateAge from '@burdockcove/fleet/StateAge';
import type FleetMember from '@burdockcove/fleet/FleetMember';
import Logger from '@burdockcove/runtime/Logger';
import type Customer from '@burdockcove/types/Customer';
import FleetQuota from '../src/FleetQuota.js';
import OwnerConnector from '../src/OwnerConnector.js';
import type OwnershipEvidence from '../src/OwnershipEvidence.js';
import type PortionAnswer from '../src/PortionAnswer.js';
import type QuotaClient from '../src/QuotaClient.js';
import QuotaCounts from '../src/QuotaCounts.js';
import QuotaOwner from '../src/QuotaOwner.js';
import type QuotaRules from '../src/QuotaRules.js';
import QuotaTable from '../src/QuotaTable.js';
import type FakeNetwork from './FakeNetwork.js';
import VmClock from './VmClock.js';

const LEASE_MS = 4000;
const RENEWAL_INTERVAL_MS = 1300;
/** As `RegistrationWriter` has it: a registration may take effect this long after it was requested. */
const MAX_WRITE_MS = LEASE_MS;
const READ_INTERVAL_MS = 300;
const UPDATE_INTERVAL_MS = 500;
/** As `PlatformQuotaClient` keeps idle connections. */
const IDLE_MS = 30_000;
const STORE = 'store';

interface FakeVmOptions {
  readonly network: FakeNetwork;
  readonly rules: QuotaRules;
  /** Replaces parts of the evidence, for variants that must be refuted. */
  readonly weaken: Partial<OwnershipEvidence>;
  readonly findVm: (name: string) => FakeVm | undefined;
}

/** Runs until it is killed. */
export default class FakeVm implements QuotaClient {
  readonly clock: VmClock;

  readonly counts = new QuotaCounts();

  readonly table: QuotaTable;

  readonly owner: QuotaOwner;

  readonly gate: FleetQuota;

  /** Additional time until what was read from the store is applied. */
  viewDelayMs = 0;

  canRenew = true;

  private readonly members: MemberTable;

  private readonly stateAge: StateAge;

  private validUntilMs = -Infinity;

  private registeredSinceMs = Infinity;

  /** When the view in force was asked for. */
  private viewAskedAtMs = -Infinity;

  /** When a connection to each address was used last. */
  private readonly connections = new Map<string, number>();

  private slow = { share: 0, minMs: 0, maxMs: 0 };

  /** When the last call of each VM was answered. */
  private readonly answeredMs = new Map<string, number>();

  private wasFoundAtStart: boolean | undefined;

  constructor(
    readonly member: FleetMember,
    private readonly options: FakeVmOptions,
  ) {
    const { network, rules, weaken } = options;
    this.clock = new VmClock(network.time);
    const { clock, counts } = this;
    this.members = new MemberTable(clock, member);
    this.stateAge = new StateAge(clock);
    this.table = new QuotaTable(rules);
    const evidence: OwnershipEvidence = {
      getLeaseValidUntilMs: () => this.validUntilMs,
      getRegisteredSinceMs: () => this.registeredSinceMs,
      getVerifiedAgeMs: () => this.stateAge.getVerifiedAgeMs(),
      ...weaken,
    };
    const logger = new Logger('silent', 'json');
    const { members, table } = this;
    this.owner = new QuotaOwner({ members, evidence, table, rules, counts, clock, logger });
    this.gate = new FleetQuota({ owner: this.owner, members, client: this, counts, clock });
    members.setChangeListener(() => this.owner.releaseLost());
    this.readStore();
    this.repeat(READ_INTERVAL_MS, () => this.readStore());
    this.repeat(RENEWAL_INTERVAL_MS, () => this.renew());
    const connector = new OwnerConnector({ members, table, client: this, counts, clock });
    this.repeat(UPDATE_INTERVAL_MS, () => {
      this.owner.updateOwned();
      connector.openConnections();
    });
  }

  applyCustomers(customers: readonly Customer[]): void {
    this.clock.run(() => this.table.apply(customers, this.clock.getMonotonicMs()));
  }

  requestPortions: QuotaClient['requestPortions'] = (address, portions, timeoutMs) => () =>
    new Promise((resolve) => {
      const { network, findVm } = this.options;
      const { name } = this.member;
      const failure = { _tag: 'PeerUnreachable' as const, step: 'ask', peer: address, detail: '' };
      this.clock.startTimer(timeoutMs, () => resolve(left(failure)));
      const ask = (): void => {
        network.send(name, address, () => {
          const asked = findVm(address);
          asked?.clock.run(() =>
            asked.answerCall(name, () => {
              const answers: readonly PortionAnswer[] = asked.owner.grantPortions(portions);
              network.send(address, name, () => this.clock.run(() => resolve(right(answers))));
            }),
          );
        });
      };
      const nowMs = this.clock.getMonotonicMs();
      const isOpen = nowMs < (this.connections.get(address) ?? -Infinity) + IDLE_MS;
      this.connections.set(address, nowMs);
      if (isOpen) {
        ask();
      } else {
        network.send(name, address, () => network.send(address, name, () => this.clock.run(ask)));
      }
    });

  /** From now on, this share of calls is answered after a time drawn between the bounds. */
  slowDown(share: number, minMs: number, maxMs: number): void {
    this.slow = { share, minMs, maxMs };
  }

  /** Runs the answer to a call; calls on one connection are answered in order. */
  private answerCall(caller: string, run: () => void): void {
    const { random } = this.options.network;
    const { share, minMs, maxMs } = this.slow;
    const isSlow = share > 0 && random.nextFloat() < share;
    const nowMs = this.clock.getMonotonicMs();
    const readyMs = nowMs + (isSlow ? minMs + random.nextFloat() * (maxMs - minMs) : 0);
    const answeredMs = Math.max(readyMs, this.answeredMs.get(caller) ?? 0);
    this.answeredMs.set(caller, answeredMs);
    if (answeredMs > nowMs) {
      this.clock.startTimer(answeredMs - nowMs, run);
    } else {
      run();
    }
  }

  /** Ends the registration and the process. */
  deregister(): void {
    this.options.network.registered.delete(this.member.name);
    this.clock.kill();
  }

  private repeat(intervalMs: number, run: () => void): void {
    const { random } = this.options.network;
    const again = (): void => {
      run();
      this.clock.startTimer(intervalMs * (0.9 + 0.2 * random.nextFloat()), again);
    };
    this.clock.startTimer(intervalMs * random.nextFloat(), again);
  }

  private readStore(): void {
    const askedAtMs = this.clock.getMonotonicMs();
    this.callStore(
      () => this.options.network.listRegistered(),
      (members) => {
        this.wasFoundAtStart ??= members.some(({ name }) => name === this.member.name);
        this.clock.startTimer(this.viewDelayMs, () => {
          // As in `StateReplica`, nothing reverts.
          if (askedAtMs > this.viewAskedAtMs) {
            this.viewAskedAtMs = askedAtMs;
            this.members.replaceMembers(members);
            this.stateAge.recordVerified(askedAtMs);
          }
        });
      },
    );
  }

  private renew(): void {
    if (!this.canRenew || this.wasFoundAtStart === undefined) {
      return;
    }
    const { network } = this.options;
    const askedAtMs = this.clock.getMonotonicMs();
    const askedAtWallMs = this.clock.getWallMs();
    const isContinuing = this.wasFoundAtStart || this.registeredSinceMs < Infinity;
    this.callStore(
      () => {
        network.expireLeases();
        const known = network.registered.get(this.member.name);
        const continuedFromMs =
          isContinuing && known !== undefined ? known.registeredAtMs : undefined;
        network.registered.set(this.member.name, {
          member: this.member,
          untilMs: network.time.nowMs + LEASE_MS,
          registeredAtMs: continuedFromMs ?? askedAtWallMs + MAX_WRITE_MS,
        });
        return continuedFromMs;
      },
      (continuedFromMs) => this.recordRegistration(continuedFromMs, askedAtMs),
    );
  }

  private recordRegistration(continuedFromMs: number | undefined, askedAtMs: number): void {
    const isFirst = this.registeredSinceMs === Infinity;
    if (continuedFromMs === undefined) {
      this.registeredSinceMs = this.clock.getMonotonicMs();
    } else if (isFirst) {
      const continuedMs = Math.max(0, this.clock.getWallMs() - continuedFromMs);
      this.registeredSinceMs = this.clock.getMonotonicMs() - continuedMs;
    }
    this.validUntilMs = Math.max(this.validUntilMs, askedAtMs + LEASE_MS);
  }

  private callStore<Value>(ask: () => Value, receive: (value: Value) => void): void {
    const { network } = this.options;
    const { name } = this.member;
    network.send(name, STORE, () => {
      const value = ask();
      network.send(STORE, name, () => this.clock.run(() => receive(value)));
    });
  }
}
