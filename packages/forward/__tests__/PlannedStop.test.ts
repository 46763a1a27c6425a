/**
 * Planned stops: the phases in virtual time, and no request cut off on real sockets.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import PlannedStop from '../src/drain/PlannedStop.js';
import StopState from '../src/drain/StopState.js';
import buildTarget from './__fixtures__/buildTarget.js';
import FakeTarget from './__fixtures__/FakeTarget.js';
import ForwardHarness from './__fixtures__/ForwardHarness.js';

const logger = new Logger('silent', 'json');
const TIMES = { maxAgeMs: 5000, longestDeadlineMs: 2000, stopLimitMs: 30_000 };

describe('PlannedStop', () => {
  function startStop(times = TIMES) {
    const clock = new FakeClock();
    const state = new StopState();
    const traffic = { inFlight: 0, lastMs: 0, everyMs: 0 };
    const view = {
      countInFlight: () => traffic.inFlight,
      countConnections: () => 0,
      getLastRequestMs: () =>
        traffic.everyMs > 0
          ? clock.getMonotonicMs() - (clock.getMonotonicMs() % traffic.everyMs)
          : traffic.lastMs,
    };
    let endedMs = -1;
    const stop = new PlannedStop(state, view, clock, logger, () => times);
    stop.run().then(
      () => {
        endedMs = clock.getMonotonicMs();
      },
      () => undefined,
    );
    return { clock, state, traffic, getEndedMs: () => endedMs };
  }

  it('leaves look-ups at once and keeps serving for the max age without requests', async () => {
    const { clock, state, getEndedMs } = startStop();
    expect(state.getPhase()).to.equal('leaving');
    await clock.advance(4900);
    expect(state.getPhase()).to.equal('leaving');
    await clock.advance(300);
    expect(state.getPhase()).to.equal('refusing');
    expect(getEndedMs()).to.be.within(5000, 5200);
  });

  it('keeps serving while requests arrive, and refuses new ones in time for the last deadline', async () => {
    const { clock, state, traffic, getEndedMs } = startStop();
    traffic.everyMs = 400;
    traffic.inFlight = 1;
    await clock.advance(27_000);
    expect(state.getPhase()).to.equal('leaving');
    await clock.advance(600);
    expect(state.getPhase()).to.equal('refusing');
    expect(getEndedMs()).to.equal(-1);
    traffic.inFlight = 0;
    await clock.advance(100);
    expect(getEndedMs()).to.be.at.least(27_000);
  });

  it('ends at the stop limit even if a request never ends', async () => {
    const { clock, traffic, getEndedMs } = startStop();
    traffic.inFlight = 1;
    await clock.advance(31_000);
    expect(getEndedMs()).to.be.within(29_000, 30_000);
  });

  it('cuts off no request, and closes the connections of callers', async () => {
    const target = new FakeTarget('a', '127.0.9.51');
    await target.start();
    target.script = () => 'late';
    const harness = new ForwardHarness([buildTarget('a', target.address)], { ip: '127.0.9.5' });
    await harness.start();
    const times = { maxAgeMs: 200, longestDeadlineMs: 500, stopLimitMs: 3000 };
    const { stopState, server, clock } = harness;
    const early = harness.sendRequest('early', '/once');
    const stopped = new PlannedStop(stopState, server, clock, logger, () => times).run();
    const late = await harness.sendRequest('late', '/once');
    expect(await early).to.include({ _tag: 'Answer', status: 200 });
    expect(late).to.include({ _tag: 'Answer', status: 200 });
    expect(late).to.have.nested.property('headers.connection', 'close');
    await stopped;
    expect(await harness.sendRequest('refused', '/once')).to.include({
      _tag: 'NotRun',
      status: 503,
    });
    expect(target.runs.size).to.equal(2);
    await harness.stop();
    await target.stop();
  });
});
