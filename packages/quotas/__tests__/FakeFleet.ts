/**
 * A fleet of entry VMs and the callers of one or more customers, in virtual time.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import Random from '@burdockcove/runtime/Random';
import type Customer from '@burdockcove/types/Customer';
import type OwnershipEvidence from '../src/OwnershipEvidence.js';
import type QuotaRules from '../src/QuotaRules.js';
import FakeNetwork from './FakeNetwork.js';
import FakeVm from './FakeVm.js';
import VirtualTime from './VirtualTime.js';

const DOMAINS = 6;
const REQUEST_TIMEOUT_MS = 1000;
/** Longest time from an admission to the arrival at a target. */
const MAX_TRANSIT_MS = 10;
const TICK_MS = 5;
const MS_PER_SECOND = 1000;

const RULES: QuotaRules = { windowMs: 5000, overage: 0.1, slack: 20 };

/** What became of a request; `ranAtMs` is absent if it was refused. */
interface SentRequest {
  readonly customer: string;
  readonly sentAtMs: number;
  ranAtMs?: number;
  /** Reason of a refusal. */
  reason?: string;
}

/** All VMs start at once; none is registered yet. */
export default class FakeFleet {
  readonly time = new VirtualTime();

  readonly random: Random;

  readonly network: FakeNetwork;

  readonly vms = new Map<string, FakeVm>();

  readonly requests: SentRequest[] = [];

  private customers: readonly Customer[] = [];

  constructor(
    seed: number,
    count: number,
    private readonly weaken: Partial<OwnershipEvidence> = {},
  ) {
    this.random = new Random(seed);
    this.network = new FakeNetwork(this.time, this.random);
    Array.from({ length: count }, (_, index) => this.startVm(`vm-${index}`));
  }

  /** Starts a VM, or restarts one of that name. */
  startVm(name: string): FakeVm {
    this.vms.get(name)?.clock.kill();
    const failureDomain = `d${Number(name.split('-')[1]) % DOMAINS}`;
    const member = { name, address: name, region: 'north', failureDomain, stateAddress: name };
    const vm = new FakeVm(member, {
      network: this.network,
      rules: RULES,
      weaken: this.weaken,
      findVm: (address) => this.vms.get(address),
    });
    this.vms.set(name, vm);
    vm.applyCustomers(this.customers);
    return vm;
  }

  /** Applies a configuration at all VMs within the time given, at owners last. */
  setCustomers(customers: readonly Customer[], maxDelayMs = 0): void {
    this.customers = customers;
    this.vms.forEach((vm) => {
      const share = vm.owner.countOwned() > 0 ? 1 : this.random.nextFloat();
      this.time.startTimer(share * maxDelayMs, () => vm.applyCustomers(customers));
    });
  }

  /** Returns the VM that owns the first part of the customer's quota. */
  findOwner(): FakeVm {
    const owner = [...this.vms.values()].find((vm) => vm.owner.countOwned() > 0);
    if (owner === undefined) {
      throw new Error('no VM owns a part');
    }
    return owner;
  }

  /** Sends requests at the rate from now on, to VMs drawn from those that the filter accepts. */
  send(
    customer: Customer,
    ratePerS: number,
    accepts: (name: string) => boolean = () => true,
  ): void {
    let dueMs = 0;
    const tick = (): void => {
      dueMs += TICK_MS;
      const names = [...this.vms.keys()].filter(accepts);
      while (dueMs > 0) {
        dueMs -= (-Math.log(1 - this.random.nextFloat()) / ratePerS) * MS_PER_SECOND;
        this.sendOne(customer, names[this.random.nextInt(names.length)] ?? '');
      }
      this.time.startTimer(TICK_MS, tick);
    };
    tick();
  }

  /** Returns the largest number of requests that were sent and ran in a window that starts at or after the time. */
  countMostInWindow(customer: string, fromMs = 0): number {
    const ran = this.requests.filter(
      (request) =>
        request.customer === customer &&
        request.ranAtMs !== undefined &&
        request.sentAtMs >= fromMs,
    );
    let most = 0;
    ran.forEach(({ sentAtMs }, first) => {
      let count = 0;
      const endMs = sentAtMs + RULES.windowMs;
      for (let index = first; (ran[index]?.sentAtMs ?? Infinity) <= endMs; index += 1) {
        count += Number((ran[index]?.ranAtMs ?? Infinity) <= endMs);
      }
      most = Math.max(most, count);
    });
    return most;
  }

  /** Returns how many requests that were sent since the time ran. */
  countRun(customer: string, fromMs: number): number {
    return this.requests.filter(
      (request) =>
        request.customer === customer &&
        request.sentAtMs >= fromMs &&
        request.ranAtMs !== undefined,
    ).length;
  }

  /** Returns the share of the customer's requests since the time that were refused. */
  computeRefusedShare(customer: string, fromMs: number): number {
    const sent = this.requests.filter(
      (request) => request.customer === customer && request.sentAtMs >= fromMs,
    );
    return sent.filter(({ reason }) => reason !== undefined).length / sent.length;
  }

  /** Returns the calls between VMs so far. */
  countCalls(): number {
    return [...this.vms.values()].reduce((sum, { counts }) => sum + counts.calls, 0);
  }

  private sendOne(customer: Customer, name: string): void {
    const vm = this.vms.get(name);
    const request: SentRequest = { customer: customer.name, sentAtMs: this.time.nowMs };
    this.requests.push(request);
    vm?.clock.run(() => {
      const deadlineAtMs = vm.clock.getMonotonicMs() + REQUEST_TIMEOUT_MS;
      const quota = this.customers.find((known) => known.name === customer.name) ?? customer;
      vm.gate
        .acquire(quota, deadlineAtMs)
        .then((result) => {
          if (isRight(result)) {
            const transitMs = 1 + this.random.nextFloat() * MAX_TRANSIT_MS;
            vm.clock.startTimer(transitMs, () => {
              request.ranAtMs = this.time.nowMs;
            });
          } else if (result.left._tag === 'NotRun') {
            request.reason = result.left.reason;
          }
        })
        .catch(() => undefined);
    });
  }
}
