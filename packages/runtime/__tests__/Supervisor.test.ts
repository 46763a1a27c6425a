/**
 * Restarts and stop order of a supervisor.
 */
import { expect } from 'chai';
import type Child from '../src/Child.js';
import FakeClock from '../src/FakeClock.js';
import Logger from '../src/Logger.js';
import Supervisor from '../src/Supervisor.js';
import waitFor from '../src/waitFor.js';

const logger = new Logger('silent', 'json');

function buildChild(name: string, events: string[], failures: number, clock: FakeClock): Child {
  let remainingFailures = failures;
  return {
    name,
    async run(signal) {
      events.push(`${name} started`);
      if (remainingFailures > 0) {
        remainingFailures -= 1;
        throw new Error('failed on purpose');
      }
      await waitFor(clock, 3_600_000, signal);
      events.push(`${name} stopped`);
    },
  };
}

describe('Supervisor', () => {
  it('restarts a failing child with growing delays and stops children in reverse order', async () => {
    const clock = new FakeClock();
    const events: string[] = [];
    const abort = new AbortController();
    const children = [buildChild('a', events, 0, clock), buildChild('b', events, 2, clock)];
    const done = new Supervisor('root', clock, logger, children).run(abort.signal);
    await clock.advance(199);
    expect(events).to.deep.equal(['a started', 'b started']);
    await clock.advance(1);
    expect(events).to.deep.equal(['a started', 'b started', 'b started']);
    await clock.advance(400);
    expect(events.filter((event) => event === 'b started')).to.have.length(3);
    abort.abort();
    await clock.advance(0);
    await done;
    expect(events.slice(-2)).to.deep.equal(['b stopped', 'a stopped']);
  });
});
