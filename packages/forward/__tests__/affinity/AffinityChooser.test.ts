/**
 * Choice by affinity: where an object goes in calm, under load past the slots, and after failures.
 */
import { expect } from 'chai';
import { isRight, type Either } from 'fp-ts/lib/Either.js';
import ColdAdmission from '@burdockcove/fleet/ColdAdmission';
import MemberTable from '@burdockcove/fleet/MemberTable';
import TargetCatalogue from '@burdockcove/fleet/TargetCatalogue';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Random from '@burdockcove/runtime/Random';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import AffinityChooser from '../../src/affinity/AffinityChooser.js';
import type AttemptResult from '../../src/AttemptResult.js';
import type Choice from '../../src/Choice.js';
import SERVICE from '../__fixtures__/SERVICE.js';

const SLOTS = 2;
const SELF = { name: 'vm', address: '127.0.0.1:1', region: 'north', failureDomain: 'a' };

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
    });
    ['n1', 'n2', 'n3', 's1', 's2', 's3'].forEach((name) => this.addTarget(name, 0));
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
      bornAtMs: -1_000_000,
      coldMs,
    });
  }

  async choose(
    affinityKey: string,
    changes: { regions?: readonly string[]; tried?: readonly string[]; priority?: number } = {},
  ): Promise<Either<RequestFailure, Choice>> {
    const regions = changes.regions ?? ['north', 'south'];
    return this.chooser.chooseTarget({
      service: { ...SERVICE, targetLatencyMs: 600, priority: changes.priority ?? 1 },
      semantics: 'repeatable',
      plan: {
        selector: '',
        clientRegion: '',
        routeIndex: 0,
        targetService: 'desk',
        regions: regions.map((region) => ({ region, oneWayMs: 0, targets: [] })),
      },
      member: 'm',
      affinityKey,
      deadlineAtMs: this.clock.getMonotonicMs() + 4000,
      tried: changes.tried ?? [],
      signal: new AbortController().signal,
    });
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
    for (const key of keys) {
      const choice = await bench.choose(key, { regions: ['south'] });
      const name = isRight(choice) ? choice.right.target.name : 's: refused';
      expect(name).to.match(/^s/);
    }
  });

  it('goes elsewhere after a failure, and never to a target already tried', async () => {
    const first = await bench.send('object');
    expect(await bench.chooseName('object', { tried: [first] })).not.to.equal(first);
    await bench.send('object', { ended: 'broken', status: 0 });
    expect(await bench.chooseName('object')).not.to.equal(first);
  });

  it('refuses at once, with a time to come back, what no target has room for', async () => {
    let refusals = 0;
    for (let index = 0; index < 40; index += 1) {
      const choice = await bench.choose('object');
      if (!isRight(choice)) {
        refusals += 1;
        expect(choice.left).to.have.property('_tag', 'NotRun');
        expect(choice.left).to.have.property('retryAfterMs').that.is.at.least(300);
      }
    }
    expect(refusals).to.be.above(0);
  });

  it('gives the last room to the more urgent', async () => {
    let isFull = false;
    while (!isFull) {
      isFull = !isRight(await bench.choose('object', { priority: 2 }));
    }
    expect(isRight(await bench.choose('object', { priority: 1 }))).to.equal(true);
  });

  it('sends to a cold target at an even pace only', async () => {
    ['n1', 'n2', 'n3', 's1', 's2', 's3'].forEach((name) => bench.addTarget(name, 10_000));
    const names = await Promise.all(
      Array.from({ length: 60 }, (_, index) => bench.send(`${index}`)),
    );
    const sent = names.filter((name) => name !== 'refused');
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
