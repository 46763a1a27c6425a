/**
 * Entry VM lookups: ranking, spreading of callers and exclusion of members.
 */
import { expect } from 'chai';
import { isNone, isSome } from 'fp-ts/lib/Option.js';
import Random from '@burdockcove/runtime/Random';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type Route from '@burdockcove/types/Route';
import buildAccepted from '@burdockcove/standins/configuration/buildAccepted';
import ConfiguredShiftPositions from '../src/ConfiguredShiftPositions.js';
import EntriesRanker from '../src/EntriesRanker.js';
import FixedConfigurationSource from '../src/FixedConfigurationSource.js';
import SteeringSource from '../src/SteeringSource.js';
import FakeMembership from './FakeMembership.js';

interface Entry {
  readonly address: string;
  readonly region: string;
}

function buildRanker(accepted?: AcceptedConfiguration, inForce?: () => readonly Route[]) {
  const source = new FixedConfigurationSource(accepted);
  const membership = new FakeMembership();
  const positions = inForce ? { getRoutes: inForce } : new ConfiguredShiftPositions(source);
  const random = new Random(1);
  const steering = new SteeringSource({ source, membership, positions, random });
  const ranker = new EntriesRanker(steering, membership);
  const listEntries = (client: string): readonly Entry[] => {
    const response = ranker.findResponse('catalogue', client);
    return isSome(response)
      ? (JSON.parse(response.value.body.toString()) as { entries: readonly Entry[] }).entries
      : [];
  };
  return { ranker, membership, source, listEntries };
}

describe('EntriesRanker', () => {
  it('responds with the revision, the maximum age and the nearest region first', () => {
    const { ranker, listEntries } = buildRanker(buildAccepted({}, 7));
    const response = ranker.findResponse('catalogue', '10.3.0.9');
    expect(isSome(response) && JSON.parse(response.value.body.toString())).to.include({
      revision: 7,
      maxAgeSeconds: 10,
    });
    const regions = listEntries('10.3.0.9').map(({ region }) => region);
    expect(regions).to.deep.equal(['far', 'far', 'far', 'middle', 'middle', 'near', 'near']);
    expect(new Set(listEntries('10.3.0.9').map(({ address }) => address)).size).to.equal(7);
  });

  it('spreads the callers of a region evenly over its entry VMs', () => {
    const { listEntries } = buildRanker(buildAccepted());
    const counts = new Map<string, number>();
    for (let host = 0; host < 3000; host += 1) {
      const [first] = listEntries(`10.1.${host % 250}.${Math.floor(host / 250)}`);
      counts.set(first?.address ?? '', (counts.get(first?.address ?? '') ?? 0) + 1);
    }
    expect(counts.size).to.equal(3);
    counts.forEach((count) => expect(count).to.be.within(900, 1100));
  });

  it('immediately excludes members that are leaving or unreachable', () => {
    const { membership, listEntries } = buildRanker(buildAccepted());
    const listAddresses = () => listEntries('10.1.0.1').map(({ address }) => address);
    expect(listAddresses()).to.include('127.8.1.1:8080');
    membership.setMember('127.8.1.1:8080', { state: 'leaving' });
    membership.setMember('127.8.1.2:8080', { reachable: false });
    expect(listAddresses()).to.not.include.members(['127.8.1.1:8080']);
    expect(listAddresses()).to.not.include.members(['127.8.1.2:8080']);
    expect(listAddresses()[0]).to.equal('127.8.1.3:8080');
  });

  it('ranks a region with targets first if the path through a region without targets is no shorter', () => {
    const accepted = buildAccepted();
    const targets = accepted.configuration.targets.filter(({ name }) => name.startsWith('far'));
    const { listEntries } = buildRanker(buildAccepted({ targets }));
    expect(listEntries('10.1.0.1')[0]?.region).to.equal('far');
  });

  it('uses the weights of a running shift', () => {
    const accepted = buildAccepted();
    const towards = (region: string): readonly Route[] => [{ targets: { region }, weight: 1 }];
    let routes = towards('near');
    const { listEntries } = buildRanker(accepted, () => routes);
    expect(listEntries('10.1.0.1')[0]?.region).to.equal('near');
    routes = towards('far');
    expect(listEntries('10.1.0.1')[0]?.region).to.equal('far');
  });

  it('returns none for an unknown service or before a configuration has arrived', () => {
    expect(isNone(buildRanker(buildAccepted()).ranker.findResponse('x', '10.1.0.1'))).to.equal(
      true,
    );
    expect(isNone(buildRanker().ranker.findResponse('catalogue', '10.1.0.1'))).to.equal(true);
  });
});
