/**
 * Seeded schedules of faults against the real ledger, planner and shift code.
 */
import { expect } from 'chai';
import { right } from 'fp-ts/lib/Either.js';
import buildFaultOptions from '../src/fleet/buildFaultOptions.js';
import FAULT_KINDS from '../src/fleet/FAULT_KINDS.js';
import type FaultKind from '../src/fleet/FaultKind.js';
import runSchedule from '../src/fleet/runSchedule.js';
import type ScheduleResult from '../src/fleet/ScheduleResult.js';
import type VirtualNode from '../src/fleet/VirtualNode.js';

const CAP = 0.1;
const ROUNDING = 1e-6;
const FAULTS_MS = 10_000;
const TIMEOUT_MS = 120_000;
const SEEDS_PER_TEST = 25;
/** Few new weights and many pauses, so that a shift makes several steps while an entry VM is away. */
const SHIFT_KINDS: readonly FaultKind[] = [
  'new-weights',
  ...new Array<FaultKind>(20).fill('pause'),
];
const SHIFT_FAULTS_MS = 40_000;

function listBroken(seed: number, result: ScheduleResult): readonly string[] {
  const broken = [
    result.exceeded > 0 ? `${result.exceeded} requests beyond a target's slots` : '',
    result.regionExceeded > 0 ? `${result.regionExceeded} requests beyond a region's limit` : '',
    result.largestMove > CAP + ROUNDING ? `moved ${result.largestMove} in a window` : '',
    result.unownedAtEnd !== 0 ? `${result.unownedAtEnd} slots unowned after recovery` : '',
    result.served === 0 ? 'nothing served' : '',
    ...result.failures,
  ].filter((each) => each !== '');
  return broken.map((each) => `seed ${seed}: ${each} (${result.injected.join(' ')})`);
}

async function runSeeds(
  first: number,
  count: number,
  kinds: readonly FaultKind[],
  prepareNode?: (node: VirtualNode) => void,
  faultsMs = FAULTS_MS,
): Promise<readonly string[]> {
  const broken: string[] = [];
  for (let seed = first; seed < first + count; seed += 1) {
    const options = buildFaultOptions(seed);
    const result = await runSchedule({ ...options, prepareNode }, kinds, faultsMs);
    broken.push(...listBroken(seed, result));
  }
  return broken;
}

/** Tries seed after seed until one is broken. */
async function findBroken(
  count: number,
  kinds: readonly FaultKind[],
  prepareNode: (node: VirtualNode) => void,
): Promise<string> {
  for (let seed = 1; seed <= count; seed += 1) {
    const broken = await runSeeds(seed, 1, kinds, prepareNode);
    if (broken.length > 0) {
      return broken.join();
    }
  }
  return '';
}

describe('schedules of faults', function describeSchedules() {
  this.timeout(TIMEOUT_MS);

  for (let first = 1; first <= 200; first += SEEDS_PER_TEST) {
    it(`holds the invariants for seeds ${first} to ${first + SEEDS_PER_TEST - 1}`, async () => {
      expect(await runSeeds(first, SEEDS_PER_TEST, FAULT_KINDS)).to.deep.equal([]);
    });
  }

  FAULT_KINDS.forEach((kind, index) => {
    it(`holds the invariants with '${kind}' alone`, async () => {
      expect(await runSeeds(1_000 + index, 1, [kind])).to.deep.equal([]);
    });
  });
});

describe('schedules of pauses during shifts', function describeShifts() {
  this.timeout(TIMEOUT_MS);

  it('hold the invariants', async () => {
    const broken = await runSeeds(1, 8, SHIFT_KINDS, undefined, SHIFT_FAULTS_MS);
    expect(broken).to.deep.equal([]);
  });
});

describe('the checker of schedules', function describeChecker() {
  this.timeout(TIMEOUT_MS);

  it('finds an owner that forgets its loans', async () => {
    const broken = await runSeeds(1, 1, [], (node) => {
      Object.assign(node.ledger.lent, { countLent: () => 0 });
    });
    expect(broken.join()).to.contain("beyond a target's slots");
  });

  it('finds a borrower that uses a loan past its term', async () => {
    const broken = await findBroken(24, ['restart'], (node) => {
      const { borrowed } = node.ledger;
      const add = borrowed.addLoan.bind(borrowed);
      Object.assign(borrowed, {
        addLoan: (loan: Parameters<typeof add>[0]) => {
          loan.finishRenewal(Infinity);
          add(loan);
        },
      });
    });
    expect(broken).to.contain("beyond a target's slots");
  });

  it('finds a process that uses a plan without having read it from the store', async () => {
    const broken = await findBroken(24, ['restart'], (node) => {
      Object.assign(node.ledger.plans, { isSettled: () => true });
    });
    expect(broken).to.contain("beyond a target's slots");
  });

  it('finds a planner that takes every giver for settled', async () => {
    const broken = await findBroken(24, ['leave', 'pause', 'restart'], (node) => {
      Object.assign(node.endpoint, {
        reportShares: () => ({ planRevision: Infinity, settled: true, uses: [] }),
      });
    });
    expect(broken).to.contain("beyond a target's slots");
  });

  it('finds a shift that does not wait for entry VMs', async () => {
    const broken = await runSeeds(
      1,
      8,
      SHIFT_KINDS,
      (node) => Object.assign(node.transport, { readShift: () => async () => right(Infinity) }),
      SHIFT_FAULTS_MS,
    );
    expect(broken.join()).to.contain('in a window');
  });
});
