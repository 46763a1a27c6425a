/**
 * Choice by affinity: where an object goes in calm, under load past the slots, and after failures.
 */
import { expect } from 'chai';
import { isRight, type Either } from 'fp-ts/lib/Either.js';
import { Registry } from 'prom-client';
import ColdAdmission from '@burdockcove/fleet/ColdAdmission';
import MemberTable from '@burdockcove/fleet/MemberTable';
import TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Random from '@burdockcove/runtime/Random';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import ForwardMetrics from '../../src/ForwardMetrics.js';
import AffinityChooser from '../../src/affinity/AffinityChooser.js';
import type AttemptResult from '../../src/AttemptResult.js';
import type Choice from '../../src/Choice.js';
import buildChoiceRequest from '../__fixtures__/buildChoiceRequest.js';
import SERVICE from '../__fixtures__/SERVICE.js';

const SLOTS = 2;
const DEADLINE_MS = 4000;
const TARGETS = ['n1', 'n2', 'n3', 's1', 's2', 's3'];
const SELF = { name: 'vm', address: '127.0.0.1:1', region: 'north', failureDomain: 'a' };

/** Ends after everything that is settled already. */
function waitTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** One chooser over six targets in two regions. */
class ChooserBench {
  readonly clock = new FakeClock();

  readonly catalogue = new TargetCatalogue(this.clock, () => 3000);

  private readonly chooser: AffinityChooser;

  constructor() {
    const cold = new ColdAdmission(this.clock, new MemberTable(this.clock, SELF), () => 2);
    this.chooser = new AffinityChooser({
      clock: this.clock,
      random: new Random(1),
      catalogue: this.catalogue,
      cold,
      getRoundTripMs: (region) => (region === 'north' ? 1 : 40),
      ownRegion: 'north',
      countSharers: () => 1,
      metrics: new ForwardMetrics(new Registry()),
    });
    TARGETS.forEach((name) => this.addTarget(name, 0));
  }

  addTarget(name: string, coldMs: number): void {
    this.catalogue.putTarget({
      target: {
        name,
        service: 'desk',
        address: `${name}:1`,
        failureDomain: name,
        slots: SLOTS,
        labels: {},
      },
      region: name.startsWith('n') ? 'north' : 'south',
      isLeaving: false,
      startedAtMs: -1_000_000,
      coldMs,
    });
  }

  async choose(
    affinityKey: string,
    changes: { regions?: readonly string[]; tried?: readonly string[]; priority?: number } = {},
  ): Promise<Either<RequestFailure, Choice>> {
    const { regions = ['north', 'south'], tried = [], priority = 1 } = changes;
    const request = buildChoiceRequest(this.clock.getMonotonicMs(), DEADLINE_MS, {
      service: { ...SERVICE, targetLatencyMs: 600, priority },
      affinityKey,
      tried,
    });
    const allowed = regions.map((region) => ({ region, oneWayMs: 0, targets: [] }));
    return this.chooser.chooseTarget({ ...request, plan: { ...request.plan, regions: allowed } });
  }

  /** Chooses where the answer may wait for room: the answer, or `waits` where there is none yet. */
  async chooseNow(...args: Parameters<ChooserBench['choose']>): Promise<string> {
    return Promise.race([this.chooseName(...args), waitTurn().then(() => 'waits')]);
  }

  async chooseName(...args: Parameters<ChooserBench['choose']>): Promise<string> {
    const choice = await this.choose(...args);
    return isRight(choice) ? choice.right.target.name : choice.left.step;
  }

  /** Sends one request for each object, one after the other. */
  async sendEach(keys: readonly string[]): Promise<readonly string[]> {
    const names: string[] = [];
    for (const key of keys) {
      names.push(await this.send(key));
    }
    return names;
  }

  /** Sends one request for the object and ends it as told; the name of its target. */
  async send(affinityKey: string, result: Partial<AttemptResult> = {}): Promise<string> {
    const choice = await this.choose(affinityKey);
    if (!isRight(choice)) {
      return 'refused';
    }
    const answered = { ended: 'answered', status: 200, latencyMs: 200 } as const;
    choice.right.reportResult({ ...answered, ...result });
    return choice.right.target.name;
  }
}

describe('AffinityChooser', () => {
  let bench: ChooserBench;

  beforeEach(() => {
    bench = new ChooserBench();
  });

  it('keeps an object on its target and spreads objects over targets', async () => {
    const keys = Array.from({ length: 30 }, (_, index) => `object-${index}`);
    const first = await bench.sendEach(keys);
    const again = await bench.sendEach(keys);
    expect(again).to.deep.equal(first);
    expect(new Set(first).size).to.equal(6);
  });

  it('stays inside the regions that may serve', async () => {
    const keys = Array.from({ length: 20 }, (_, index) => `object-${index}`);
    const names: string[] = [];
    for (const key of keys) {
      names.push(await bench.chooseNow(key, { regions: ['south'] }));
    }
    const sent = names.filter((name) => name !== 'waits');
    expect(sent).not.to.have.length(0);
    sent.forEach((name) => expect(name).to.match(/^(s|choose a target)/));
  });

  it('goes elsewhere after a failure, and never to a target already tried', async () => {
    const first = await bench.send('object');
    expect(await bench.chooseName('object', { tried: [first] })).not.to.equal(first);
    await bench.send('object', { ended: 'broken', status: 0 });
    expect(await bench.chooseName('object')).not.to.equal(first);
  });

  it('lets a share of the slots wait and refuses the rest at once, with a time to come back', async () => {
    const { length } = TARGETS;
    const refused: Either<RequestFailure, Choice>[] = [];
    const waiting: Promise<unknown>[] = [];
    for (let index = 0; index < 60; index += 1) {
      const choice = bench.choose('object');
      const isSettled = await Promise.race([choice, waitTurn()]);
      if (isSettled === undefined) {
        waiting.push(choice);
      } else if (!isRight(await choice)) {
        refused.push(await choice);
      }
    }
    expect(waiting).to.have.length(length * SLOTS);
    expect(refused).not.to.have.length(0);
    refused.forEach((choice) => {
      expect(choice).to.have.nested.property('left._tag', 'NotRun');
      expect(choice).to.have.nested.property('left.retryAfterMs').that.is.at.least(300);
    });
  });

  it('refuses who has waited in vain well before the deadline, and says for how long', async () => {
    const choices = Array.from({ length: 20 }, () => bench.choose('object'));
    await bench.clock.advance(DEADLINE_MS / 2);
    const ends = await Promise.all(choices);
    const details = ends.map((end) => (isRight(end) ? '' : end.left.detail));
    expect(details.some((detail) => /waited \d+ ms$/.test(detail))).to.equal(true);
  });

  it('keeps an object at its full target for a while, then lets it leave', async () => {
    const first = await bench.chooseNow('object');
    let next = first;
    while (next === first) {
      next = await bench.chooseNow('object');
    }
    expect(next).to.equal('waits');
    const patient = bench.chooseName('object');
    await bench.clock.advance(DEADLINE_MS / 2);
    expect(await patient)
      .to.match(/^[ns]\d$/)
      .and.not.to.equal(first);
  });

  it('gives the last room to the more urgent', async () => {
    let last = '';
    while (last !== 'waits') {
      last = await bench.chooseNow('object', { priority: 2 });
    }
    expect(await bench.chooseNow('object', { priority: 1 })).to.match(/^[ns]\d$/);
  });

  it('sends to a cold target at an even pace only', async () => {
    TARGETS.forEach((name) => bench.addTarget(name, 10_000));
    const names: string[] = [];
    for (let index = 0; index < 60; index += 1) {
      names.push(await bench.chooseNow(String(index)));
    }
    const sent = names.filter((name) => /^[ns]\d$/.test(name));
    expect(sent).not.to.have.length(0);
    expect(sent.length).to.equal(new Set(sent).size);
  });

  it('leaves a slow target once its answers show it', async () => {
    await bench.sendEach(Array.from({ length: 30 }, (_, index) => `object-${index}`));
    const first = await bench.send('object');
    let slowAnswers = 0;
    let name = first;
    while (name === first && slowAnswers < 20) {
      name = await bench.send('object', { latencyMs: 4000 });
      slowAnswers += 1;
    }
    expect(slowAnswers).to.be.below(5);
  });
});
