/**
 * Eviction from a map of limited size.
 */
import { expect } from 'chai';
import BoundedMap from '../src/BoundedMap.js';

describe('BoundedMap', () => {
  it('evicts the entry that was set longest ago', () => {
    const map = new BoundedMap<string, number>(2);
    map.set('a', 1);
    map.set('b', 2);
    map.set('a', 3);
    map.set('c', 4);
    expect([map.get('a'), map.get('b'), map.get('c'), map.size]).to.deep.equal([
      3,
      undefined,
      4,
      2,
    ]);
    map.delete('a');
    expect(map.get('a')).to.equal(undefined);
  });
});
