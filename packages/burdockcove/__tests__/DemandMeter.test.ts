/**
 * Demand from the request metrics.
 */
import { expect } from 'chai';
import { Histogram, Registry } from 'prom-client';
import FakeClock from '@burdockcove/runtime/FakeClock';
import DemandMeter from '../src/admin/DemandMeter.js';

describe('DemandMeter', () => {
  it('tells the rate and the mean number at once of the last window', async () => {
    const clock = new FakeClock();
    const registry = new Registry();
    const seconds = new Histogram({
      name: 'burdockcove_request_seconds',
      help: 'for the test',
      labelNames: ['service'],
      registers: [registry],
    });
    const meter = new DemandMeter(clock, registry, 'jabar');
    const abort = new AbortController();
    seconds.observe({ service: 'ledger' }, 5);
    const done = meter.run(abort.signal);
    await clock.advance(1);
    expect(meter.describeStatus()).to.deep.equal([]);
    for (let request = 0; request < 40; request += 1) {
      seconds.observe({ service: 'ledger' }, 0.5);
    }
    await clock.advance(10_000);
    expect(meter.describeStatus()).to.deep.equal([
      { service: 'ledger', region: 'jabar', inFlight: 2, perSecond: 4 },
    ]);
    await clock.advance(10_000);
    expect(meter.describeStatus()).to.deep.equal([
      { service: 'ledger', region: 'jabar', inFlight: 0, perSecond: 0 },
    ]);
    abort.abort();
    await clock.advance(0);
    await done;
  });
});
