/**
 * Signs of a restart, and the health checks that refute or confirm them.
 */
import { expect } from 'chai';
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import waitFor from '@burdockcove/runtime/waitFor';
import type TargetStatus from '@burdockcove/targets/TargetStatus';
import type PeerError from '@burdockcove/types/PeerError';
import ColdAdmission from '../src/ColdAdmission.js';
import type KnownTarget from '../src/KnownTarget.js';
import MemberTable from '../src/MemberTable.js';
import StateAge from '../src/StateAge.js';
import TargetAdmission from '../src/TargetAdmission.js';
import TargetCatalogue from '../src/TargetCatalogue.js';
import WarmthEvidence from '../src/WarmthEvidence.js';
import buildTargetRecord from './buildTargetRecord.js';

const CHECK_MS = 30;
const SELF = { name: 'vm', address: '127.0.0.1:1', region: 'north', failureDomain: 'a' };
const FAILED: PeerError = { _tag: 'PeerUnreachable', step: 's', peer: 'p', detail: '' };

describe('TargetAdmission', () => {
  let clock: FakeClock;
  let stateAge: StateAge;
  let catalogue: TargetCatalogue;
  let admission: TargetAdmission;
  let response: Either<PeerError, TargetStatus>;
  let outcomes: string[];

  function getTarget(): KnownTarget {
    return catalogue.findUsable('t1') as KnownTarget;
  }

  /** Tries to send one request every 10 ms for half a second; returns how many were admitted. */
  async function countAdmitted(): Promise<number> {
    let admitted = 0;
    for (let step = 0; step < 50; step += 1) {
      if (admission.tryAdmit(getTarget())) {
        admission.recordSent(getTarget());
        admitted += 1;
      }
      await clock.advance(10);
    }
    return admitted;
  }

  beforeEach(() => {
    clock = new FakeClock();
    stateAge = new StateAge(clock);
    catalogue = new TargetCatalogue(clock, () => 3000);
    catalogue.putTarget(buildTargetRecord('t1'));
    response = right({ name: 't1', coldMs: 0, isLeaving: false });
    outcomes = [];
    const readStatus = () => async () => {
      await waitFor(clock, CHECK_MS);
      return response;
    };
    admission = new TargetAdmission({
      clock,
      logger: new Logger('silent', 'json'),
      catalogue,
      cold: new ColdAdmission(clock, new MemberTable(clock, SELF), () => ({
        ratePerS: 2,
        burst: 3,
      })),
      evidence: new WarmthEvidence(clock, stateAge),
      reader: { readStatus },
      recordCheck: (outcome) => outcomes.push(outcome),
    });
    stateAge.recordConfirmed();
  });

  it('admits every request to a target that the store vouches for, without checks', async () => {
    expect(await countAdmitted()).to.equal(50);
    expect(outcomes).to.deep.equal([]);
  });

  // Guards against FAILBACK: a target that restarted under its id behind a single failed request.
  it('takes a target as cold after one failure, until a check finds it warm', async () => {
    response = left(FAILED);
    admission.recordFailure(getTarget());
    expect(await countAdmitted()).to.equal(1);
    response = right({ name: 't1', coldMs: 0, isLeaving: false });
    await clock.advance(300);
    await countAdmitted();
    expect(await countAdmitted()).to.equal(50);
  });

  it('takes a target as cold for its whole cold time if it responds after the failure and no check does', async () => {
    response = left(FAILED);
    admission.recordFailure(getTarget());
    await clock.advance(100);
    admission.recordResponse(getTarget(), clock.getMonotonicMs());
    expect(getTarget().coldUntilMs).to.equal(clock.getMonotonicMs() + 3000);
  });

  it('knows that a target which responds to an older request has not restarted', async () => {
    const sentAtMs = clock.getMonotonicMs();
    await clock.advance(100);
    admission.recordFailure(getTarget());
    admission.recordResponse(getTarget(), sentAtMs);
    expect(await countAdmitted()).to.equal(50);
    expect(outcomes).to.deep.equal([]);
  });

  it('does not trust a check that was sent before the failure', async () => {
    await clock.advance(4000);
    admission.tryAdmit(getTarget());
    await clock.advance(CHECK_MS / 2);
    stateAge.recordConfirmed();
    admission.recordFailure(getTarget());
    await clock.advance(CHECK_MS);
    expect(outcomes).to.deep.equal(['warm']);
    expect(admission.isConfirmed(getTarget())).to.equal(false);
  });

  it('takes the cold time from a check', async () => {
    admission.recordFailure(getTarget());
    response = right({ name: 't1', coldMs: 1200, isLeaving: false });
    admission.tryAdmit(getTarget());
    await clock.advance(CHECK_MS);
    expect(getTarget().coldUntilMs).to.equal(clock.getMonotonicMs() + 1200);
  });

  it('does not believe another target at the address, and waits after a failed check', async () => {
    response = right({ name: 't2', coldMs: 0, isLeaving: false });
    admission.recordFailure(getTarget());
    expect(await countAdmitted()).to.equal(1);
    expect(outcomes).to.deep.equal(['other-target', 'other-target']);
  });
});
