/**
 * Limits, the bounded queue and fair sharing between Members.
 */
import { expect } from 'chai';
import { isLeft, isRight, type Either } from 'fp-ts/lib/Either.js';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../../src/Choice.js';
import ChooserHarness from './ChooserHarness.js';

const ONE_SLOT = [{ region: 'near', targets: 1, slots: 1, oneWayMs: 0 }];

function readReason(answer: Either<RequestFailure, Choice>): string {
  if (isRight(answer)) {
    return 'chosen';
  }
  return answer.left._tag === 'NotRun' ? answer.left.reason : answer.left._tag;
}

describe('admission', () => {
  it('refuses at once where the queue is full', async () => {
    const test = new ChooserHarness({ regions: ONE_SLOT, service: { maxQueuePerVm: 1 } });
    await test.chooseTarget();
    const waiting = test.requestTarget();
    expect(readReason(await test.requestTarget())).to.equal('queue-full');
    expect(test.clock.getMonotonicMs()).to.equal(0);
    await test.clock.advance(10_000);
    expect(readReason(await waiting)).to.equal('deadline');
  });

  it('serves at once with no queue allowed', async () => {
    const test = new ChooserHarness({ regions: ONE_SLOT, service: { maxQueuePerVm: 0 } });
    await test.chooseTarget();
    expect(readReason(await test.requestTarget())).to.equal('queue-full');
  });

  it('refuses above the limit on requests at once', async () => {
    const test = new ChooserHarness({ service: { maxRequestsPerVm: 2 } });
    await test.chooseTarget();
    await test.chooseTarget();
    expect(readReason(await test.requestTarget())).to.equal('service-limit');
  });

  it('drops a waiting request before it is sent, once a target could not answer in time', async () => {
    const test = new ChooserHarness({ regions: ONE_SLOT });
    for (let index = 0; index < 5; index += 1) {
      await test.endExchange(await test.chooseTarget(), { latencyMs: 100 });
    }
    await test.chooseTarget();
    const waiting = test.requestTarget({ deadlineAtMs: test.clock.getMonotonicMs() + 250 });
    let reason = '';
    waiting.then((answer) => {
      reason = readReason(answer);
    });
    await test.clock.advance(149);
    expect(reason).to.equal('');
    await test.clock.advance(1);
    expect(reason).to.equal('deadline');
  });

  it('removes a request whose caller goes away', async () => {
    const test = new ChooserHarness({ regions: ONE_SLOT, service: { maxQueuePerVm: 1 } });
    await test.chooseTarget();
    const gone = new AbortController();
    const waiting = test.requestTarget({ signal: gone.signal });
    gone.abort();
    expect(isLeft(await waiting)).to.equal(true);
    expect(await test.readMetric('burdockcove_choice_refusals_total', {})).to.equal(0);
    const next = test.requestTarget();
    await test.clock.advance(1);
    expect(
      await test.readMetric('burdockcove_choice_refusals_total', { reason: 'queue-full' }),
    ).to.equal(0);
    await test.clock.advance(10_000);
    expect(readReason(await next)).to.equal('deadline');
  });

  it('gives a quiet Member its turn before the backlog of a busy one', async () => {
    const test = new ChooserHarness({ regions: ONE_SLOT });
    const first = await test.chooseTarget({ member: 'busy' });
    const order: string[] = [];
    const ask = (member: string): void => {
      test.chooseTarget({ member }).then(async (choice) => {
        order.push(member);
        await Promise.resolve();
        choice.permit.release();
        choice.reportResult({ ended: 'answered', status: 200, latencyMs: 1 });
      });
    };
    Array.from({ length: 20 }).forEach(() => ask('busy'));
    ask('quiet');
    await test.endExchange(first);
    await test.clock.advance(100);
    expect(order.indexOf('quiet')).to.be.at.most(1);
    expect(order).to.have.length(21);
  });

  it('makes room for a quiet Member in a queue that a busy one has filled', async () => {
    const test = new ChooserHarness({ regions: ONE_SLOT, service: { maxQueuePerVm: 5 } });
    await test.chooseTarget({ member: 'busy' });
    const backlog = Array.from({ length: 5 }, () => test.requestTarget({ member: 'busy' }));
    test.requestTarget({ member: 'quiet' });
    expect(readReason(await (backlog[4] as Promise<Either<RequestFailure, Choice>>))).to.equal(
      'member-limit',
    );
    expect(readReason(await test.requestTarget({ member: 'busy' }))).to.equal('member-limit');
  });

  it('lets one Member use everything while nobody else asks', async () => {
    const test = new ChooserHarness();
    for (let index = 0; index < 8; index += 1) {
      await test.chooseTarget({ member: 'busy' });
    }
  });
});
