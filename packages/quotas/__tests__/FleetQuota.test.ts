/**
 * Admission by portions at one VM, with an owner that the test plays.
 */
import { expect } from 'chai';
import { isLeft, isRight, left, right, type Either } from 'fp-ts/lib/Either.js';
import MemberTable from '@burdockcove/fleet/MemberTable';
import type FleetMember from '@burdockcove/fleet/FleetMember';
import type QuotaPermit from '@burdockcove/forward/admission/QuotaPermit';
import Logger from '@burdockcove/runtime/Logger';
import type Customer from '@burdockcove/types/Customer';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import FleetQuota from '../src/FleetQuota.js';
import getPartKey from '../src/getPartKey.js';
import type PortionAnswer from '../src/PortionAnswer.js';
import QuotaCounts from '../src/QuotaCounts.js';
import QuotaOwner from '../src/QuotaOwner.js';
import QuotaTable from '../src/QuotaTable.js';
import type RequestedPortion from '../src/RequestedPortion.js';
import TickingClock from './TickingClock.js';

const RULES = { windowMs: 5000, overage: 0.1, slack: 20 };
const ROUND_TRIP_MS = 10;
const VALID_MS = 500;
const LATER_MS = 10_000;

type Admission = Either<RequestFailure, QuotaPermit>;
type Answer = (
  portion: RequestedPortion,
  address: string,
) => PortionAnswer | undefined | 'unreachable';

function buildMember(name: string): FleetMember {
  return { name, address: name, region: 'north', failureDomain: 'a', stateAddress: name };
}

function buildCustomer(name: string, ratePerS = 50): Customer {
  return { name, homeRegions: [], quota: { ratePerS, burst: 0 } };
}

const CUSTOMERS = Array.from({ length: 40 }, (_, index) => buildCustomer(`x${index}`));

function grant(count: number, waitMs = 0): PortionAnswer {
  return { _tag: 'Granted', count, validMs: VALID_MS, waitMs };
}

/** One VM among three; `answer` plays the others, and does not respond where it returns nothing. */
class Setup {
  readonly clock = new TickingClock();

  readonly members = new MemberTable(this.clock, buildMember('self'));

  readonly calls: { readonly address: string; readonly portions: readonly RequestedPortion[] }[] =
    [];

  answerMs = ROUND_TRIP_MS;

  readonly gate: FleetQuota;

  constructor(private readonly answer: Answer) {
    const { clock, members } = this;
    members.replaceMembers(['self', 'b', 'c'].map(buildMember));
    const counts = new QuotaCounts();
    const table = new QuotaTable(RULES);
    const evidence = {
      getLeaseValidUntilMs: () => clock.getMonotonicMs() + 4000,
      getRegisteredSinceMs: () => -Infinity,
      getVerifiedAgeMs: () => 0,
    };
    const logger = new Logger('silent', 'json');
    const rules = RULES;
    const owner = new QuotaOwner({ members, evidence, table, rules, counts, clock, logger });
    table.apply(CUSTOMERS, 0);
    this.gate = new FleetQuota({ owner, members, client: this, counts, clock });
  }

  /** Returns a customer whose part the member owns, and for which the other one ranks next. */
  findCustomer(member: string, next = 'c'): Customer {
    const found = CUSTOMERS.find(({ name }) => {
      const [first, second] = this.members.rankFirst(getPartKey(name, 0));
      return first?.name === member && second?.name === next;
    });
    if (found === undefined) {
      throw new Error(`${member} owns none`);
    }
    return found;
  }

  requestPortions =
    (address: string, portions: readonly RequestedPortion[], timeoutMs: number) => () =>
      new Promise<Either<never, readonly PortionAnswer[]>>((resolve) => {
        this.calls.push({ address, portions });
        const answers = portions.map((portion) => this.answer(portion, address));
        const isLost = answers.includes(undefined);
        const isFailed = isLost || answers.includes('unreachable');
        const failure = { _tag: 'PeerUnreachable', step: '', peer: address, detail: '' };
        this.clock.startTimer(isLost ? timeoutMs : this.answerMs, () => {
          resolve(isFailed ? left(failure as never) : right(answers as readonly PortionAnswer[]));
        });
      });

  async acquire(customer: Customer, waitMs = ROUND_TRIP_MS): Promise<Admission | undefined> {
    let result: Admission | undefined;
    const acquired = this.gate.acquire(customer, this.clock.getMonotonicMs() + LATER_MS);
    acquired.then(
      (admission) => {
        result = admission;
      },
      () => undefined,
    );
    await this.clock.advance(waitMs);
    return result;
  }
}

function getReason(result: Admission | undefined): string {
  if (result === undefined) {
    return 'waiting';
  }
  return isLeft(result) && result.left._tag === 'NotRun' ? result.left.reason : 'admitted';
}

describe('FleetQuota', () => {
  it('waits for a portion, then admits at once what it holds', async () => {
    const setup = new Setup(() => grant(3));
    const customer = setup.findCustomer('b');
    expect(getReason(await setup.acquire(customer))).to.equal('admitted');
    expect(getReason(await setup.acquire(customer, 0))).to.equal('admitted');
    expect(getReason(await setup.acquire(customer, 0))).to.equal('admitted');
    expect(getReason(await setup.acquire(customer, 0))).to.equal('waiting');
  });

  // Guards against "Retry-After: 0", with which callers come back at once, where a hold ends between two readings.
  it('tells when to come back in each refusal, however close the end of a hold', async () => {
    const setup = new Setup(() => grant(0, 60));
    const customer = setup.findCustomer('b');
    let refusals = 0;
    for (let tries = 0; tries < 4000; tries += 1) {
      setup.clock.stepMs = 0.1 + (tries % 7) * 0.05;
      const result = await setup.acquire(customer, 0);
      if (result === undefined) {
        await setup.clock.advance(ROUND_TRIP_MS);
      } else if (isLeft(result)) {
        expect(result.left).to.have.property('retryAfterMs').that.is.at.least(1);
        refusals += 1;
      }
    }
    expect(refusals).to.be.above(1000);
  });

  it('does not use a portion after its lifetime, counted from when it was asked for', async () => {
    const setup = new Setup(() => grant(3));
    const customer = setup.findCustomer('b');
    await setup.acquire(customer);
    await setup.clock.advance(VALID_MS - ROUND_TRIP_MS - 1);
    expect(getReason(await setup.acquire(customer, 0))).to.equal('admitted');
    await setup.clock.advance(1);
    expect(getReason(await setup.acquire(customer, 0))).to.equal('waiting');
  });

  // Guards against requests beyond the quota after a change of it, which may shorten the lifetime of later portions.
  it('does not use a portion that ends before an earlier one', async () => {
    const lifetimesMs = [VALID_MS, VALID_MS / 5];
    const setup = new Setup(() => ({ ...grant(2), validMs: lifetimesMs.shift() ?? VALID_MS }));
    const customer = setup.findCustomer('b');
    await setup.acquire(customer);
    await setup.acquire(customer, 0);
    expect(getReason(await setup.acquire(customer))).to.equal('admitted');
    await setup.clock.advance(VALID_MS / 5);
    expect(getReason(await setup.acquire(customer, 0))).to.equal('waiting');
  });

  it('does not use a portion after a suspension in which only the time of day went on', async () => {
    const setup = new Setup(() => grant(3));
    const customer = setup.findCustomer('b');
    await setup.acquire(customer);
    setup.clock.shiftWallClock(VALID_MS);
    expect(getReason(await setup.acquire(customer, 0))).to.equal('waiting');
  });

  it('uses again what was given back, once', async () => {
    const setup = new Setup(() => grant(1));
    const customer = setup.findCustomer('b');
    const result = await setup.acquire(customer);
    expect(result).to.satisfy(isRight);
    if (result !== undefined && isRight(result)) {
      result.right.giveBack();
      result.right.giveBack();
    }
    expect(getReason(await setup.acquire(customer, 0))).to.equal('admitted');
    expect(getReason(await setup.acquire(customer, 0))).to.equal('waiting');
  });

  it('refuses with the wait that the owner gave, and does not ask again until then', async () => {
    const setup = new Setup(() => grant(0, 180));
    const customer = setup.findCustomer('b');
    const result = await setup.acquire(customer);
    expect(getReason(result)).to.equal('quota');
    expect(result).to.have.nested.property('left.retryAfterMs', 180);
    expect(result).to.have.deep.nested.property('left.logFields', {
      portion: 'denied',
      cause: 'denied',
      owners: ['b'],
    });
    expect(getReason(await setup.acquire(customer, 0))).to.equal('quota');
    expect(setup.calls).to.have.length(1);
    await setup.clock.advance(180);
    await setup.acquire(customer, 0);
    expect(setup.calls).to.have.length(2);
  });

  it('asks again after 250 ms at most, however long the owner says', async () => {
    const setup = new Setup(() => grant(0, 60_000));
    const customer = setup.findCustomer('b');
    await setup.acquire(customer);
    await setup.clock.advance(250);
    await setup.acquire(customer, 0);
    expect(setup.calls).to.have.length(2);
  });

  it('waits 300 ms for an owner that does not respond, then refuses with 503', async () => {
    const setup = new Setup(() => undefined);
    const customer = setup.findCustomer('b');
    expect(getReason(await setup.acquire(customer, 299))).to.equal('waiting');
    await setup.clock.advance(LATER_MS);
    const result = await setup.acquire(customer, 300);
    expect(getReason(result)).to.equal('not-ready');
    expect(result).to.have.deep.nested.property('left.logFields', {
      portion: 'unanswered',
      cause: 'late',
      owners: ['b'],
    });
    expect(setup.calls).to.have.length(2);
  });

  // Guards against refusals below the quota: a slow owner's late answer was thrown away, and its part left alone.
  it('uses an answer that comes after the request that asked has ended', async () => {
    const setup = new Setup(() => grant(2));
    setup.answerMs = 330;
    const customer = setup.findCustomer('b');
    const first = setup.gate.acquire(customer, LATER_MS);
    await setup.clock.advance(250);
    const second = setup.gate.acquire(customer, LATER_MS);
    await setup.clock.advance(80);
    expect(getReason(await first)).to.equal('not-ready');
    expect(getReason(await second)).to.equal('admitted');
    expect(getReason(await setup.acquire(customer, 0))).to.equal('admitted');
    expect(setup.calls).to.have.length(1);
  });

  it('uses nothing of an answer that comes after the lifetime of its portion', async () => {
    const setup = new Setup(() => grant(9));
    setup.answerMs = VALID_MS + 100;
    const customer = setup.findCustomer('b');
    await setup.acquire(customer, VALID_MS + 100);
    setup.answerMs = ROUND_TRIP_MS;
    expect(getReason(await setup.acquire(customer, 0))).to.equal('waiting');
  });

  // Guards against requests that each wait 300 ms for an owner that is gone, up to the limit on those that wait.
  it('refuses at once behind an owner that is gone, and asks it now and then with one request', async () => {
    const setup = new Setup(() => undefined);
    const customer = setup.findCustomer('b');
    await setup.acquire(customer, 499);
    const waiting = setup.gate.acquire(customer, LATER_MS);
    await setup.clock.advance(1);
    expect(getReason(await waiting)).to.equal('not-ready');
    expect(getReason(await setup.acquire(customer, 0))).to.equal('not-ready');
    await setup.clock.advance(800);
    expect(getReason(await setup.acquire(customer, 0))).to.equal('waiting');
    const others = await Promise.all([setup.acquire(customer, 0), setup.acquire(customer, 0)]);
    expect(others.map(getReason)).to.deep.equal(['not-ready', 'not-ready']);
    expect(setup.calls).to.have.length(2);
  });

  it('asks twice where the owner cannot be reached, then refuses at once for 250 ms', async () => {
    const setup = new Setup(() => 'unreachable');
    const customer = setup.findCustomer('b');
    expect(getReason(await setup.acquire(customer, 2 * ROUND_TRIP_MS))).to.equal('not-ready');
    expect(setup.calls).to.have.length(2);
    await setup.clock.advance(240);
    expect(getReason(await setup.acquire(customer, 0))).to.equal('not-ready');
    expect(setup.calls).to.have.length(2);
    await setup.clock.advance(10);
    expect(getReason(await setup.acquire(customer, 0))).to.equal('waiting');
  });

  it('asks another part where the owner of its own is late', async () => {
    const asked: string[] = [];
    const setup = new Setup((_portion, address) => {
      asked.push(address);
      return address === asked[0] ? undefined : grant(1);
    });
    const owners = (name: string): readonly string[] =>
      [0, 1].map((part) => setup.members.rankFirst(getPartKey(name, part))[0]?.name ?? '');
    const found = CUSTOMERS.find(({ name }) => [...owners(name)].sort().join('') === 'bc');
    const customer = buildCustomer(found?.name ?? '', 200);
    const acquired = setup.gate.acquire(customer, LATER_MS);
    await setup.clock.advance(200 + ROUND_TRIP_MS);
    expect(getReason(await acquired)).to.equal('admitted');
    expect(setup.calls).to.have.length(2);
  });

  it('asks the present owner where the membership changed meanwhile', async () => {
    const setup = new Setup((_portion, address) => (address === 'b' ? undefined : grant(1)));
    const customer = setup.findCustomer('b');
    const acquired = setup.gate.acquire(customer, LATER_MS);
    await setup.clock.advance(1);
    setup.members.replaceMembers(['self', 'c'].map(buildMember));
    await setup.clock.advance(220);
    expect(getReason(await acquired)).to.equal('admitted');
    expect(setup.calls.map(({ address }) => address)).to.deep.equal(['b', 'c']);
  });

  it('asks the next member by rank where a new VM does not grant yet', async () => {
    const setup = new Setup((_portion, address) =>
      address === 'b' ? { _tag: 'NotOwner' } : grant(1),
    );
    const customer = setup.findCustomer('b');
    expect(getReason(await setup.acquire(customer, 2 * ROUND_TRIP_MS))).to.equal('admitted');
    expect(setup.calls.map(({ address }) => address)).to.deep.equal(['b', 'c']);
  });

  // Guards against refusals below the quota: a new connection to another region takes 80 ms.
  it('leaves the time that the first owner did not use to the next one', async () => {
    const setup = new Setup((_portion, address) =>
      address === 'b' ? { _tag: 'NotOwner' } : grant(1),
    );
    const customer = setup.findCustomer('b');
    const acquired = setup.gate.acquire(customer, LATER_MS);
    await setup.clock.advance(ROUND_TRIP_MS - 1);
    setup.answerMs = 280;
    await setup.clock.advance(281);
    expect(getReason(await acquired)).to.equal('admitted');
    expect(setup.calls.map(({ address }) => address)).to.deep.equal(['b', 'c']);
  });

  it('makes no call for a part that it owns itself, and decides at once', async () => {
    const setup = new Setup(() => undefined);
    const customer = setup.findCustomer('self');
    expect(getReason(await setup.acquire(customer, 0))).to.equal('quota');
    await setup.clock.advance(1000);
    expect(getReason(await setup.acquire(customer, 0))).to.equal('admitted');
    expect(setup.calls).to.have.length(0);
  });

  it('does not hold a request beyond its deadline', async () => {
    const setup = new Setup(() => undefined);
    const acquired = setup.gate.acquire(setup.findCustomer('b'), 20);
    await setup.clock.advance(20);
    expect(getReason(await acquired)).to.equal('not-ready');
  });

  // Guards against a call for each customer: one that is made anyway renews the portions of the owner's other customers.
  it('asks for the other customers with several parts in the call for one of them', async () => {
    const setup = new Setup(({ wanted }) => grant(wanted));
    const large = ['p', 'q', 'r'].map((name) => buildCustomer(name, 500));
    // Steady requests, until each customer's rate is known.
    for (let round = 0; round < 40; round += 1) {
      await Promise.all(large.map((customer) => setup.acquire(customer, 0)));
      await setup.clock.advance(100);
    }
    const calls = setup.calls.slice(-10);
    calls.forEach(({ portions }) => {
      const customers = portions.map(({ customer }) => customer);
      expect(new Set(customers).size).to.equal(customers.length);
    });
    const shared = calls.filter(({ portions }) => portions.length === large.length);
    expect(shared.length).to.be.greaterThan(5);
    expect(new Set(calls.map(({ address }) => address)).size).to.equal(1);
  });

  it('makes few calls for many requests at a time', async () => {
    const setup = new Setup(({ wanted }) => grant(wanted));
    const customer = setup.findCustomer('b');
    const results = Array.from({ length: 100 }, () => setup.acquire(customer, 0));
    await Promise.all(results);
    await setup.clock.advance(5 * ROUND_TRIP_MS);
    expect(setup.calls.length).to.be.at.most(4);
  });
});
