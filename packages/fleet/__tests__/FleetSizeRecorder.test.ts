/**
 * Guards against limits of the whole fleet that are divided by too few VMs: a VM that starts while the leases of the
 * others have expired learns the size of the fleet from the store.
 */
import { expect } from 'chai';
import { right } from 'fp-ts/lib/Either.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import type Store from '@burdockcove/store/Store';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
import FleetSizeRecorder from '../src/FleetSizeRecorder.js';
import type FleetMember from '../src/FleetMember.js';
import MemberTable from '../src/MemberTable.js';
import StateAge from '../src/StateAge.js';

function buildMember(name: string): FleetMember {
  return { name, address: `${name}:1`, region: 'north', failureDomain: 'a' };
}

/** One VM with its recorder; the store accepts every write and tells the VM of it. */
class RecorderHarness {
  readonly clock = new FakeClock();

  readonly members: MemberTable;

  readonly stateAge = new StateAge(this.clock);

  readonly writes: StoreTransaction[] = [];

  private readonly stop = new AbortController();

  constructor(name: string) {
    this.members = new MemberTable(this.clock, buildMember(name));
    const store = {
      commitTransaction: (transaction: StoreTransaction) => async () => {
        this.writes.push(transaction);
        const { members: size } = JSON.parse(transaction.puts[0]?.value ?? '') as {
          members: number;
        };
        this.members.setRecord({ size, revision: this.writes.length });
        return right({ committed: true, revision: this.writes.length });
      },
    } as unknown as Store;
    const logger = new Logger('silent', 'json');
    const { clock, members, stateAge } = this;
    const recorder = new FleetSizeRecorder(store, 'size', members, stateAge, clock, logger);
    recorder.run(this.stop.signal).catch(() => undefined);
  }

  /** Advances time while the store responds each second. */
  async advance(seconds: number): Promise<void> {
    for (let passed = 0; passed < seconds; passed += 1) {
      this.stateAge.recordConfirmed();
      await this.clock.advance(1000);
    }
  }

  listWrites(): readonly (string | undefined)[] {
    return this.writes.map(({ puts }) => puts[0]?.value);
  }

  end(): void {
    this.stop.abort();
  }
}

describe('FleetSizeRecorder', () => {
  let harness: RecorderHarness;

  function start(name: string): void {
    harness = new RecorderHarness(name);
    ['b', 'c', 'd'].forEach((other) => harness.members.putMember(buildMember(other)));
  }

  afterEach(() => harness.end());

  it('records the size once, by the first member only, on condition that the record is unchanged', async () => {
    start('a');
    await harness.advance(30);
    expect(harness.writes).to.deep.equal([
      {
        compares: [{ key: 'size', revision: 0 }],
        puts: [{ key: 'size', value: '{"members":4}' }],
        deletes: [],
      },
    ]);
    harness.end();
    start('e');
    await harness.advance(30);
    expect(harness.writes).to.deep.equal([]);
  });

  it('divides by the recorded size while the leases of the others have expired', async () => {
    harness = new RecorderHarness('a');
    harness.members.setRecord({ size: 12, revision: 7 });
    expect(harness.members.getPeakMemberCount()).to.equal(12);
    await harness.advance(50);
    expect(harness.listWrites()).to.deep.equal([]);
  });

  it('lowers the record after a minute with fewer members', async () => {
    start('a');
    await harness.advance(5);
    ['b', 'c'].forEach((name) => harness.members.removeMember(name));
    await harness.advance(50);
    expect(harness.members.getPeakMemberCount()).to.equal(4);
    await harness.advance(80);
    expect(harness.listWrites()).to.deep.equal(['{"members":4}', '{"members":2}']);
    expect(harness.members.getPeakMemberCount()).to.equal(2);
  });

  it('records nothing while the store does not respond', async () => {
    start('a');
    await harness.clock.advance(120_000);
    expect(harness.writes).to.deep.equal([]);
  });
});
