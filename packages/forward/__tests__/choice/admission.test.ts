/**
 * Admission control: limits, the bounded queue and fair queuing between Members.
 */
import { expect } from 'chai';
import { isLeft, isRight, type Either } from 'fp-ts/lib/Either.js';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Choice from '../../src/Choice.js';
import ChooserHarness from './ChooserHarness.js';

const ONE_SLOT = [{ region: 'near', targets: 1, slots: 1, oneWayMs: 0 }];

function getOutcome(answer: Either<RequestFailure, Choice>): string {
  if (isRight(answer)) {
    return 'chosen';
  }
  return answer.left._tag === 'NotRun' ? answer.left.reason : answer.left._tag;
}

describe('admission', () => {
  it('refuses a request at once when the queue is full', async () => {
    const harness = new ChooserHarness({ regions: ONE_SLOT, service: { maxQueuePerVm: 1 } });
    await harness.chooseTarget();
    const waiting = harness.requestTarget();
    expect(getOutcome(await harness.requestTarget())).to.equal('queue-full');
    expect(harness.clock.getMonotonicMs()).to.equal(0);
    await harness.clock.advance(10_000);
    expect(getOutcome(await waiting)).to.equal('deadline');
  });

  it('uses free slots without a queue, and refuses the next request', async () => {
    const harness = new ChooserHarness({ regions: ONE_SLOT, service: { maxQueuePerVm: 0 } });
    await harness.chooseTarget();
    expect(getOutcome(await harness.requestTarget())).to.equal('queue-full');
  });

  it('refuses requests above the limit on concurrent requests', async () => {
    const harness = new ChooserHarness({ service: { maxRequestsPerVm: 2 } });
    await harness.chooseTarget();
    await harness.chooseTarget();
    expect(getOutcome(await harness.requestTarget())).to.equal('service-limit');
  });

  it('refuses a queued request once a target could no longer respond before its deadline', async () => {
    const harness = new ChooserHarness({ regions: ONE_SLOT });
    for (let index = 0; index < 5; index += 1) {
      await harness.endExchange(await harness.chooseTarget(), { latencyMs: 100 });
    }
    await harness.chooseTarget();
    const waiting = harness.requestTarget({ deadlineAtMs: harness.clock.getMonotonicMs() + 250 });
    let reason = '';
    waiting.then((answer) => {
      reason = getOutcome(answer);
    });
    await harness.clock.advance(149);
    expect(reason).to.equal('');
    await harness.clock.advance(1);
    expect(reason).to.equal('deadline');
  });

  it('removes a queued request whose caller disconnects', async () => {
    const harness = new ChooserHarness({ regions: ONE_SLOT, service: { maxQueuePerVm: 1 } });
    await harness.chooseTarget();
    const caller = new AbortController();
    const waiting = harness.requestTarget({ signal: caller.signal });
    caller.abort();
    expect(isLeft(await waiting)).to.equal(true);
    expect(await harness.readMetric('burdockcove_choice_refusals_total', {})).to.equal(0);
    const next = harness.requestTarget();
    await harness.clock.advance(1);
    expect(
      await harness.readMetric('burdockcove_choice_refusals_total', { reason: 'queue-full' }),
    ).to.equal(0);
    await harness.clock.advance(10_000);
    expect(getOutcome(await next)).to.equal('deadline');
  });

  it('serves a quiet Member before the backlog of a busy one', async () => {
    const harness = new ChooserHarness({ regions: ONE_SLOT });
    const first = await harness.chooseTarget({ member: 'busy' });
    const order: string[] = [];
    const enqueue = (member: string): void => {
      harness.chooseTarget({ member }).then(async (choice) => {
        order.push(member);
        await Promise.resolve();
        choice.permit.release();
        choice.reportResult({ ended: 'answered', status: 200, latencyMs: 1 });
      });
    };
    Array.from({ length: 20 }).forEach(() => enqueue('busy'));
    enqueue('quiet');
    await harness.endExchange(first);
    await harness.clock.advance(100);
    expect(order.indexOf('quiet')).to.be.at.most(1);
    expect(order).to.have.length(21);
  });

  it('evicts a request of a busy Member from a full queue to admit one of a quiet Member', async () => {
    const harness = new ChooserHarness({ regions: ONE_SLOT, service: { maxQueuePerVm: 5 } });
    await harness.chooseTarget({ member: 'busy' });
    const backlog = Array.from({ length: 5 }, () => harness.requestTarget({ member: 'busy' }));
    harness.requestTarget({ member: 'quiet' });
    expect(getOutcome(await (backlog[4] as Promise<Either<RequestFailure, Choice>>))).to.equal(
      'member-limit',
    );
    expect(getOutcome(await harness.requestTarget({ member: 'busy' }))).to.equal('member-limit');
  });

  it('lets one Member use all slots while no other Member sends requests', async () => {
    const harness = new ChooserHarness();
    for (let index = 0; index < 8; index += 1) {
      await harness.chooseTarget({ member: 'busy' });
    }
  });
});
