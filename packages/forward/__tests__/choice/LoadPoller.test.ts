/**
 * Load reports that announce draining, are outdated or wrong, or stop.
 */
import { expect } from 'chai';
import { left, right } from 'fp-ts/lib/Either.js';
import { Registry } from 'prom-client';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import type TargetLoad from '@burdockcove/targets/TargetLoad';
import type TargetReports from '@burdockcove/targets/TargetReports';
import type Target from '@burdockcove/types/Target';
import LoadPoller from '../../src/health/LoadPoller.js';
import TargetState from '../../src/health/TargetState.js';

const TARGET: Target = {
  name: 'near-0',
  service: 'desk',
  address: 'near-0:80',
  failureDomain: 'near-a',
  slots: 10,
  labels: {},
};

class PollerHarness {
  readonly clock = new FakeClock();

  readonly state = new TargetState(new Random(1));

  load: TargetLoad | null = { inFlight: 0, slots: 10, draining: false };

  polls = 0;

  readonly poller: LoadPoller;

  private readonly stop = new AbortController();

  constructor() {
    const protocol: TargetReports = {
      readHealth: () => () => Promise.resolve(right(true)),
      readLoad: (peer) => () => {
        this.polls += 1;
        const failure = left({ _tag: 'PeerUnreachable', step: 'poll', peer, detail: '' } as const);
        return Promise.resolve(this.load === null ? failure : right(this.load));
      },
    };
    const logger = new Logger('silent', 'json');
    this.poller = new LoadPoller(this.clock, new Random(1), logger, protocol, new Registry());
    this.poller.run(this.stop.signal).catch(() => undefined);
  }

  /** Advances the clock while requests keep considering the target. */
  async advanceWatched(ms: number): Promise<void> {
    const untilMs = this.clock.getMonotonicMs() + ms;
    while (this.clock.getMonotonicMs() < untilMs) {
      this.poller.watchTarget(TARGET, this.state);
      await this.clock.advance(100);
    }
  }

  estimateOthersShare(): number {
    return this.state.reportedLoad.estimateOthersShare(this.clock.getMonotonicMs(), TARGET.slots);
  }
}

describe('LoadPoller', () => {
  it('detects within two seconds that a target drains', async () => {
    const harness = new PollerHarness();
    await harness.advanceWatched(3_050);
    expect(harness.state.reportedLoad.isDraining()).to.equal(false);
    harness.load = { inFlight: 0, slots: 10, draining: true };
    await harness.advanceWatched(1_900);
    expect(harness.state.reportedLoad.isDraining()).to.equal(true);
  });

  it('treats a target that alternates between draining and not draining as draining', async () => {
    const harness = new PollerHarness();
    let usable = 0;
    for (let second = 0; second < 60; second += 1) {
      harness.load = { inFlight: 0, slots: 10, draining: second % 4 === 1 };
      await harness.advanceWatched(1_000);
      usable += harness.state.reportedLoad.isDraining() ? 0 : 1;
    }
    expect(usable).to.be.at.most(4);
  });

  it('ends draining after the hold time, with a slow start', async () => {
    const harness = new PollerHarness();
    harness.load = { inFlight: 0, slots: 10, draining: true };
    await harness.advanceWatched(2_000);
    harness.load = { inFlight: 0, slots: 10, draining: false };
    await harness.advanceWatched(4_000);
    expect(harness.state.reportedLoad.isDraining()).to.equal(true);
    await harness.advanceWatched(3_000);
    expect(harness.state.reportedLoad.isDraining()).to.equal(false);
    expect(harness.state.slowStart.getSlotShare(harness.clock.getMonotonicMs())).to.be.below(0.5);
  });

  it('decreases the weight of a report with its age, and keeps draining while polls fail', async () => {
    const harness = new PollerHarness();
    harness.load = { inFlight: 10, slots: 10, draining: true };
    await harness.advanceWatched(500);
    expect(harness.estimateOthersShare()).to.be.above(0.4);
    harness.load = null;
    await harness.advanceWatched(6_000);
    expect(harness.estimateOthersShare()).to.equal(0);
    expect(harness.state.reportedLoad.getAgeMs(harness.clock.getMonotonicMs())).to.be.above(5_000);
    expect(harness.state.reportedLoad.isUnresponsive()).to.equal(true);
    expect(harness.state.reportedLoad.isDraining()).to.equal(true);
  });

  it('counts a report for at most half of the slots', async () => {
    const harness = new PollerHarness();
    harness.load = { inFlight: 1_000_000, slots: 10, draining: false };
    await harness.advanceWatched(500);
    expect(harness.estimateOthersShare()).to.be.at.most(0.5);
  });

  it('keeps the load at least at the own requests in flight when a target reports none', async () => {
    const harness = new PollerHarness();
    harness.state.inFlight = 5;
    await harness.advanceWatched(3_000);
    const load = harness.state.estimateLoad(harness.clock.getMonotonicMs(), TARGET.slots);
    expect(load).to.equal(0.5);
  });

  it('stops polling a target that no request considers', async () => {
    const harness = new PollerHarness();
    await harness.advanceWatched(1_000);
    await harness.clock.advance(40_000);
    const { polls } = harness;
    await harness.clock.advance(60_000);
    expect(harness.polls).to.equal(polls);
    expect(polls).to.be.at.most(42);
    expect(harness.poller.isInitialPollDone(TARGET)).to.equal(false);
  });

  it('regards the initial poll as done even if it got no report', async () => {
    const harness = new PollerHarness();
    harness.load = null;
    harness.poller.watchTarget(TARGET, harness.state);
    expect(harness.poller.isInitialPollDone(TARGET)).to.equal(false);
    await harness.clock.advance(200);
    expect(harness.poller.isInitialPollDone(TARGET)).to.equal(true);
  });
});
