/**
 * Limits that stop a change before it is stored.
 */
import { expect } from 'chai';
import { isLeft } from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import parseConfiguration from '@burdockcove/configuration/parseConfiguration';
import type Configuration from '@burdockcove/types/Configuration';
import type Labels from '@burdockcove/types/Labels';
import listBreaches from '../src/limits/listBreaches.js';
import parseDemand from '../src/limits/parseDemand.js';
import placeDemand from '../src/limits/placeDemand.js';
import buildBench from './buildBench.js';

function readDemand(texts: readonly string[]) {
  return texts.map((text) => {
    const demand = parseDemand(text);
    if (!isSome(demand)) {
      throw new Error(text);
    }
    return demand.value;
  });
}

function setRegionLabels(configuration: Configuration, region: string, labels: Labels) {
  const regions = configuration.regions.map((each) =>
    each.name === region ? { ...each, labels } : each,
  );
  return { ...configuration, regions };
}

describe('limits', () => {
  let java: Configuration;

  before(async () => {
    const parsed = parseConfiguration('java', (await buildBench()).example);
    if (isLeft(parsed)) {
      throw new Error('the example is faulty');
    }
    java = parsed.right;
  });

  const listLimits = (after: Configuration, demand: readonly string[] = []) =>
    listBreaches(java, after, readDemand(demand)).map(({ limit, object }) => `${limit} ${object}`);

  it('lets a region be drained when the others carry its work, and not otherwise', () => {
    const drained = setRegionLabels(java, 'jabar', { leaving: 'true' });
    expect(listLimits(drained, ['ledger@jabar=10', 'ledger@jateng=6'])).to.deep.equal([]);
    expect(listLimits(drained, ['ledger@jabar=20', 'ledger@jateng=6'])).to.deep.equal([
      'slots service ledger',
    ]);
  });

  it('leaves alone what the change does not make worse', () => {
    const demand = ['ledger@jabar=90'];
    const better = setRegionLabels(java, 'jatim', { note: 'seen' });
    expect(listLimits(better, demand)).to.deep.equal([]);
  });

  it('refuses what would push a link past its limit, with the figures', () => {
    const drained = setRegionLabels(java, 'jabar', { leaving: 'true' });
    const demand = readDemand(['catalogue@jabar=10:30000']);
    const [breach] = listBreaches(java, drained, demand);
    expect(breach?.limit).to.equal('link');
    expect(breach?.detail).to.match(/4[0-9.]+ Mbit\/s .* carries 4000/);
  });

  it('refuses to take away the last target of a service or selector', () => {
    const all = java.regions.reduce(
      (changed, { name }) => setRegionLabels(changed, name, { leaving: 'true' }),
      java,
    );
    expect(listLimits(all)).to.include.members(['targets service catalogue']);
    const targets = java.targets.filter(({ labels }) => labels.track !== 'steady');
    expect(listLimits({ ...java, targets })).to.deep.equal([]);
  });

  it('refuses a selector that takes over with more than its cap', () => {
    const [tracks, ...others] = java.selectors;
    const renamed = { ...java, selectors: tracks ? [{ ...tracks, name: 'other' }, ...others] : [] };
    expect(listLimits(renamed)).to.deep.equal([]);
    const routes = [...(tracks?.routes ?? [])].map((route) => ({ ...route, weight: 50 }));
    const moved = tracks ? [{ ...tracks, name: 'other', routes }, ...others] : [];
    expect(listLimits({ ...java, selectors: moved })).to.include('cap selector other');
  });

  it('places demand nearest first, within slots and the region limit', () => {
    const regions = java.regions.map((region) =>
      region.name === 'jabar' ? { ...region, maxInFlight: { ledger: 5 } } : region,
    );
    const placed = placeDemand({ ...java, regions }, 'ledger', readDemand(['ledger@jabar=20:100']));
    expect(Object.fromEntries(placed.byRegion)).to.deep.equal({ jabar: 5, jateng: 12, jatim: 3 });
    expect(placed.unplaced).to.equal(0);
    expect(placed.links.get('jateng>jabar')).to.be.closeTo(0.6 * 100 * 4000 * 8e-6, 1e-9);
  });
});
