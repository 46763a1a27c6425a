/**
 * Load past the slots for a short time: who waits, in which order they are served, and who is refused.
 */
import { expect } from 'chai';
import { isRight, left, right, type Either } from 'fp-ts/lib/Either.js';
import { Registry } from 'prom-client';
import FakeClock from '@burdockcove/runtime/FakeClock';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import WaitingRoom from '../src/admission/WaitingRoom.js';
import type Choice from '../src/Choice.js';
import type ChoiceRequest from '../src/ChoiceRequest.js';
import ForwardMetrics from '../src/ForwardMetrics.js';
import buildChoiceRequest from './__fixtures__/buildChoiceRequest.js';
import SERVICE from './__fixtures__/SERVICE.js';

const AIM_MS = 600;
const DEADLINE_MS = 4000;
const ROOM_LIMIT = 30;
const REFUSAL = left<RequestFailure>({
  _tag: 'NotRun',
  reason: 'region-full',
  step: 'choose a target',
  peer: '',
  detail: 'busy',
});

type Outcome = Either<RequestFailure, Choice>;

/** A room before targets that have the free places told. */
class RoomBench {
  readonly clock = new FakeClock();

  readonly served: string[] = [];

  looks = 0;

  free = 0;

  private readonly room: WaitingRoom;

  constructor() {
    this.room = new WaitingRoom({
      clock: this.clock,
      metrics: new ForwardMetrics(new Registry()),
      getLimit: () => ROOM_LIMIT,
      tryChoose: (request) => this.tryChoose(request),
    });
  }

  wait(id: string, changes: Partial<ChoiceRequest> = {}, priority = 1): Promise<Outcome> {
    const nowMs = this.clock.getMonotonicMs();
    const service = { ...SERVICE, targetLatencyMs: AIM_MS, priority };
    const request = buildChoiceRequest(nowMs, DEADLINE_MS, { id, service, ...changes });
    return this.room.wait(request, REFUSAL);
  }

  private tryChoose({ id = '' }: ChoiceRequest): Outcome {
    this.looks += 1;
    if (this.free === 0) {
      return REFUSAL;
    }
    this.free -= 1;
    this.served.push(id);
    return right({} as Choice);
  }
}

describe('WaitingRoom', () => {
  let bench: RoomBench;

  beforeEach(() => {
    bench = new RoomBench();
  });

  it('serves those who can still be answered in time first, then the urgent, then the old', async () => {
    await bench.clock.advance(1000);
    const waits = [
      bench.wait('late', { firstRequestedAtMs: 0 }),
      bench.wait('usual'),
      bench.wait('younger'),
      bench.wait('urgent', {}, 0),
    ];
    bench.free = 4;
    await bench.clock.advance(100);
    await Promise.all(waits);
    expect(bench.served).to.deep.equal(['urgent', 'usual', 'younger', 'late']);
  });

  it('serves as soon as there is room, one request for each free place', async () => {
    const waits = [bench.wait('a'), bench.wait('b')];
    bench.free = 1;
    await bench.clock.advance(100);
    expect(bench.served).to.deep.equal(['a']);
    bench.free = 1;
    await bench.clock.advance(100);
    expect((await Promise.all(waits)).every(isRight)).to.equal(true);
  });

  it('refuses well before the deadline, and says how long the request has waited', async () => {
    const wait = bench.wait('a');
    await bench.clock.advance(DEADLINE_MS / 2);
    const outcome = await wait;
    expect(outcome)
      .to.have.nested.property('left.detail')
      .that.matches(/^busy; waited \d+ ms$/);
  });

  it('refuses at once where as many wait as may', async () => {
    const waits = Array.from({ length: ROOM_LIMIT }, (_none, index) => bench.wait(`${index}`));
    expect(await bench.wait('one more')).to.equal(REFUSAL);
    await bench.clock.advance(DEADLINE_MS);
    await Promise.all(waits);
  });

  it('takes no target for a caller that has left', async () => {
    const gone = new AbortController();
    const wait = bench.wait('gone', { signal: gone.signal });
    gone.abort();
    bench.free = 1;
    await bench.clock.advance(100);
    expect(isRight(await wait)).to.equal(false);
    expect(bench.served).to.deep.equal([]);
  });

  it('looks for room a bounded number of times a second, however many wait', async () => {
    const waits = Array.from({ length: ROOM_LIMIT }, (_none, index) => bench.wait(`${index}`));
    await bench.clock.advance(1000);
    expect(bench.looks).to.be.at.most(25 * 16);
    await bench.clock.advance(DEADLINE_MS);
    await Promise.all(waits);
  });
});
