/**
 * Random fault schedules over a fleet: the configuration in force never goes back, and all agree in the end.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import FakeClock from '@burdockcove/runtime/FakeClock';
import FleetStandIn from '@burdockcove/standins/fleet/FleetStandIn';
import buildPlaces from './support/buildPlaces.js';
import encodeConfiguration from './support/encodeConfiguration.js';

const RUNS = 100;
const SEED = 20261204;
const NODES = 7;
const KEY = 'state/configuration';
const STEP_MS = 700;
const SETTLE_MS = 45_000;
const MUTANT_RUNS = 10;

type Fault =
  | {
      readonly kind:
        'write' | 'storeDown' | 'storeUp' | 'cutWatches' | 'silence' | 'compact' | 'heal';
    }
  | {
      readonly kind: 'pause' | 'resume' | 'restart' | 'severStore' | 'partition';
      readonly node: number;
    };

const fault: fc.Arbitrary<Fault> = fc.oneof(
  { weight: 4, arbitrary: fc.constant({ kind: 'write' as const }) },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom('storeDown', 'storeUp', 'cutWatches', 'silence', 'compact', 'heal'),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constantFrom('pause', 'resume', 'restart', 'severStore', 'partition'),
      node: fc.nat({ max: NODES - 1 }),
    }),
  },
);

/** One run of a schedule, counting each time that a running process went back. */
class ScheduleRun {
  readonly clock = new FakeClock();

  readonly fleet: FleetStandIn;

  wentBack = 0;

  private written = 0;

  private readonly highest = new Map<number, number>();

  constructor(
    seed: number,
    /** A restarted process counts as ready at once, which the check must notice. */
    private readonly skipsJoin = false,
  ) {
    this.fleet = new FleetStandIn(
      { clock: this.clock, seed, networkDelayMs: 20 },
      buildPlaces(NODES),
    );
  }

  async run(faults: readonly Fault[]): Promise<void> {
    await this.write();
    this.fleet.startAll();
    await this.advance(4_000);
    for (const one of faults) {
      await this.apply(one);
      await this.advance(STEP_MS);
    }
    this.mendAll();
    await this.advance(SETTLE_MS);
  }

  getWritten(): number {
    return this.written;
  }

  stop(): void {
    this.fleet.killAll();
  }

  private async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.clock.advance(STEP_MS);
      this.observe();
    }
  }

  private observe(): void {
    this.fleet.nodes.forEach((node, index) => {
      const before = this.highest.get(index) ?? 0;
      const now = node.isReady() ? node.getRevision() : before;
      this.wentBack += now < before ? 1 : 0;
      this.highest.set(index, Math.max(before, now));
    });
  }

  private async write(): Promise<void> {
    if (!this.fleet.store.isDown()) {
      this.written += 1;
      await this.fleet.putState(KEY, encodeConfiguration(this.written));
    }
  }

  private async apply(one: Fault): Promise<void> {
    const { store, network, nodes } = this.fleet;
    const node = 'node' in one ? nodes[one.node] : undefined;
    switch (one.kind) {
      case 'write':
        return this.write();
      case 'storeDown':
        return store.setDown(true);
      case 'storeUp':
        return store.setDown(false);
      case 'cutWatches':
        return store.cutWatches();
      case 'silence':
        return store.silenceWatches();
      case 'compact':
        return store.compactHistory();
      case 'heal':
        return network.setCut(() => false);
      case 'pause':
        return node?.clock.pause();
      case 'resume':
        return node?.clock.resume();
      case 'severStore':
        return node?.store.setCut(true);
      case 'restart':
        node?.kill();
        node?.start();
        return this.skipsJoin ? node?.plane?.replica.markReady() : undefined;
      default:
        return network.setCut(
          (from, to) => (from === node?.vm.peerAddress) !== (to === node?.vm.peerAddress),
        );
    }
  }

  private mendAll(): void {
    this.fleet.store.setDown(false);
    this.fleet.network.setCut(() => false);
    this.fleet.nodes.forEach((node) => {
      node.clock.resume();
      node.store.setCut(false);
    });
  }
}

describe('fault schedules', () => {
  it('notice a process that serves before it has asked its peers', async () => {
    let wentBack = 0;
    for (let seed = 0; seed < MUTANT_RUNS && wentBack === 0; seed += 1) {
      const run = new ScheduleRun(seed, true);
      await run.run([{ kind: 'storeDown' }, { kind: 'restart', node: seed % NODES }]);
      wentBack = run.wentBack;
      run.stop();
      await run.clock.advance(0);
    }
    expect(wentBack).to.be.greaterThan(0);
  });

  it(`never go back and converge, over ${RUNS} schedules`, async function test() {
    this.timeout(120_000);
    const schedules = fc.array(fault, { minLength: 6, maxLength: 18 });
    await fc.assert(
      fc.asyncProperty(schedules, fc.nat({ max: 1_000_000 }), async (faults, seed) => {
        const run = new ScheduleRun(seed);
        await run.run(faults);
        const revisions = run.fleet.nodes.map((node) => node.getRevision());
        const reachable = run.fleet.nodes.map(
          (node) => node.plane?.membership.getMembers().filter((member) => member.reachable).length,
        );
        run.stop();
        await run.clock.advance(0);
        expect(run.wentBack).to.equal(0);
        expect(new Set(revisions)).to.deep.equal(new Set([run.getWritten()]));
        expect(new Set(reachable)).to.deep.equal(new Set([NODES]));
      }),
      { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );
  });
});
