/**
 * Route weights in force at one entry VM, with and without a shift record.
 */
import { expect } from 'chai';
import { none, some } from 'fp-ts/lib/Option.js';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Replica from '@burdockcove/store/Replica';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type Selector from '@burdockcove/types/Selector';
import ReplicaShiftPositions from '../src/shift/ReplicaShiftPositions.js';
import advanceShift from '../src/shift/advanceShift.js';
import applyShiftOrder from '../src/shift/applyShiftOrder.js';
import buildInitialShift from '../src/shift/buildInitialShift.js';
import startShift from '../src/shift/startShift.js';

function buildSelector(tartu: number, parnu: number): Selector {
  const routes = [
    { targets: { region: 'tartu' }, weight: tartu },
    { targets: { region: 'parnu' }, weight: parnu },
  ];
  return { name: 'all', routes } as unknown as Selector;
}

function buildSource(revision: number, selector: Selector): ConfigurationSource {
  const accepted = { revision, configuration: { selectors: [selector] } };
  return {
    getCurrent: () => some(accepted as unknown as AcceptedConfiguration),
    subscribe: () => () => undefined,
  };
}

function buildReplica(): Replica & { send: (entry: StoreEntry) => void } {
  const listeners: ((entry: StoreEntry) => void)[] = [];
  return {
    getEntry: () => none,
    listEntries: () => [],
    subscribe: (_prefix, listener) => {
      listeners.push(listener);
      return () => undefined;
    },
    getAgeMs: () => 0,
    send: (entry) => listeners.forEach((listener) => listener(entry)),
  };
}

function getWeights(positions: ReplicaShiftPositions): readonly number[] {
  return positions.getRoutes('all').map((route) => Number(route.weight.toFixed(6)));
}

describe('ReplicaShiftPositions', () => {
  it('routes no traffic under a later configuration without a record', () => {
    const positions = new ReplicaShiftPositions(
      buildSource(2, buildSelector(1, 3)),
      buildReplica(),
    );
    expect(getWeights(positions)).to.deep.equal([0, 0]);
  });

  it('uses the initial configuration, then only the record, and ignores older records', () => {
    const replica = buildReplica();
    const positions = new ReplicaShiftPositions(buildSource(1, buildSelector(1, 3)), replica);
    expect(getWeights(positions)).to.deep.equal([1, 3]);
    const initial = buildInitialShift(buildSelector(1, 3), 1, '');
    const moved = advanceShift(startShift(initial, buildSelector(1, 1).routes), 0.1);
    replica.send({ key: 'state/shift/all', value: JSON.stringify(moved), revision: 9 });
    expect(getWeights(positions)).to.deep.equal([0.35, 0.65]);
    replica.send({ key: 'state/shift/all', value: JSON.stringify(initial), revision: 8 });
    expect(getWeights(positions)).to.deep.equal([0.35, 0.65]);
    expect(positions.getAppliedRevision('all')).to.equal(9);
  });

  it('rolls back to the weights before the shift from its current position', () => {
    const initial = buildInitialShift(buildSelector(1, 0), 1, '');
    const { routes } = buildSelector(0, 1);
    const started = { ...startShift(initial, routes), ordered: routes };
    const moved = advanceShift(advanceShift(started, 0.1), 0.1);
    const order = { version: 1, order: 'back', operator: 'ani', reason: 'errors' } as const;
    const back = applyShiftOrder(moved, order, 7);
    expect(back).to.include({ position: 0, direction: 'back', status: 'moving', orderRevision: 7 });
    expect(advanceShift(advanceShift(advanceShift(back, 0.1), 0.1), 0.1).status).to.equal('done');
  });
});
