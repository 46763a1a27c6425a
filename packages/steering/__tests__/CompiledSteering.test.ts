/**
 * Services, operation semantics, routes and shares of the compiled configuration.
 */
import { expect } from 'chai';
import { isSome, toUndefined } from 'fp-ts/lib/Option.js';
import Random from '@burdockcove/runtime/Random';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type Route from '@burdockcove/types/Route';
import type Service from '@burdockcove/types/Service';
import buildAccepted from '@burdockcove/standins/configuration/buildAccepted';
import ConfiguredShiftPositions from '../src/ConfiguredShiftPositions.js';
import type CompiledSteering from '../src/CompiledSteering.js';
import FixedConfigurationSource from '../src/FixedConfigurationSource.js';
import SteeringSource from '../src/SteeringSource.js';
import FakeMembership from './FakeMembership.js';

function buildSource(
  accepted: AcceptedConfiguration,
  positions?: { getRoutes(): readonly Route[] },
) {
  const source = new FixedConfigurationSource(accepted);
  const membership = new FakeMembership();
  const steering = new SteeringSource({
    source,
    membership,
    positions: positions ?? new ConfiguredShiftPositions(source),
    random: new Random(1),
  });
  return { source, membership, steering };
}

function getCurrent(steering: SteeringSource): CompiledSteering {
  const current = steering.getCurrent();
  if (!isSome(current)) {
    throw new Error('no steering is in force');
  }
  return current.value;
}

const accepted = buildAccepted();
const service = accepted.configuration.services[0] as Service;

describe('CompiledSteering', () => {
  it('finds services by host label, by rule, and by path', () => {
    const steering = getCurrent(buildSource(accepted).steering);
    const find = (host: string, path: string): string | undefined =>
      toUndefined(steering.findService(host, path))?.name;
    expect(find('catalogue.example:8080', '/x')).to.equal('catalogue');
    expect(find('LEDGER', '/lookups')).to.equal('ledger');
    expect(find('desk.example', '/stock/7')).to.equal('catalogue');
    expect(find('desk.example', '/stocks')).to.equal(undefined);
    expect(find('127.0.0.1:80', '/lookups?x=/')).to.equal('catalogue');
    expect(find('127.0.0.1:80', '/other')).to.equal(undefined);
  });

  it('treats requests that match no operation or have an ambiguous path as at-most-once', () => {
    const steering = getCurrent(buildSource(accepted).steering);
    const get = (method: string, path: string): string =>
      steering.getSemantics(service, method, path);
    expect(get('GET', '/lookups/3?x=1')).to.equal('repeatable');
    expect(get('PUT', '/prices')).to.equal('repeatable');
    [
      ['POST', '/lookups/3'],
      ['GET', '/lookups-old'],
      ['GET', '/lookups/../orders'],
      ['GET', '/lookups/%2e%2e/orders'],
      ['GET', '/lookups//orders'],
      ['GET', '/lookups%2Forders'],
    ].forEach(([method = '', path = '']) => {
      expect(get(method, path), path).to.equal('at-most-once');
    });
  });

  it('keeps the shares of routes within two requests of their weights over any run', () => {
    const { steering } = buildSource(accepted);
    const current = getCurrent(steering);
    let fromNew = 0;
    for (let drawn = 1; drawn <= 1000; drawn += 1) {
      fromNew += current.planRoute(service, '10.1.0.1').routeIndex;
      expect(Math.abs(fromNew - 0.3 * drawn), `after ${drawn}`).to.be.below(2);
    }
  });

  it('lists regions nearest first, and only the nearest region without overflow', () => {
    const plan = getCurrent(buildSource(accepted).steering).planRoute(service, '10.3.0.1');
    expect(plan.clientRegion).to.equal('far');
    expect(plan.regions.map(({ region, oneWayMs }) => [region, oneWayMs])).to.deep.equal([
      ['near', 0],
      ['middle', 10],
      ['far', 20],
    ]);
    const selectors = accepted.configuration.selectors.map((each) => ({
      ...each,
      overflow: false,
    }));
    const narrow = getCurrent(buildSource(buildAccepted({ selectors })).steering);
    expect(narrow.planRoute(service, '10.3.0.1').regions).to.have.length(1);
  });

  it('excludes targets that are leaving by label of target, domain or region, or by the VM list', () => {
    const { configuration } = accepted;
    const leaving = { leaving: 'true' };
    const listNames = (steering: SteeringSource): readonly string[] => {
      const current = getCurrent(steering);
      const plans = Array.from({ length: 20 }, () => current.planRoute(service, '10.1.0.1'));
      const names = plans.flatMap(({ regions }) =>
        regions.flatMap(({ targets }) => targets.map(({ name }) => name)),
      );
      return [...new Set(names)].sort();
    };
    const { source, membership, steering } = buildSource(accepted);
    expect(listNames(steering)).to.have.length(6);
    membership.setLeavingTarget('127.9.1.2:9100');
    expect(listNames(steering)).to.not.include('near-2');
    source.setAccepted(
      buildAccepted(
        {
          regions: configuration.regions.map((each) =>
            each.name === 'far' ? { ...each, labels: leaving } : each,
          ),
          failureDomains: configuration.failureDomains.map((each) =>
            each.name === 'middle-a' ? { ...each, labels: leaving } : each,
          ),
        },
        2,
      ),
    );
    expect(listNames(steering)).to.deep.equal(['near-1']);
  });

  it('never draws a route whose targets are all leaving', () => {
    const { configuration } = accepted;
    const targets = configuration.targets.map((each) =>
      each.labels.track === 'new' ? { ...each, labels: { ...each.labels, leaving: 'true' } } : each,
    );
    const current = getCurrent(buildSource(buildAccepted({ targets })).steering);
    const plans = Array.from({ length: 50 }, () => current.planRoute(service, '10.1.0.1'));
    expect(plans.every(({ routeIndex }) => routeIndex === 0)).to.equal(true);
  });

  it('uses the weights of a running shift and ignores older revisions', () => {
    const [steady, fresh] = accepted.configuration.selectors[0]?.routes ?? [];
    const positions = { routes: [] as readonly Route[], getRoutes: () => positions.routes };
    const { source, steering } = buildSource(accepted, positions);
    positions.routes = [
      { targets: steady?.targets ?? {}, weight: 0 },
      { targets: fresh?.targets ?? {}, weight: 1 },
    ];
    const current = getCurrent(steering);
    expect(current.planRoute(service, '10.1.0.1').routeIndex).to.equal(1);
    positions.routes = [positions.routes[1] as Route, positions.routes[0] as Route];
    expect(current.planRoute(service, '10.1.0.1').routeIndex).to.equal(0);
    source.setAccepted(buildAccepted({}, 5));
    source.setAccepted(buildAccepted({}, 4));
    expect(getCurrent(steering).revision).to.equal(5);
  });

  it('offers every target if no selector applies', () => {
    const current = getCurrent(buildSource(buildAccepted({ selectors: [] })).steering);
    const plan = current.planRoute(service, '192.0.2.1');
    expect(plan.selector).to.equal('');
    expect(plan.clientRegion).to.equal('');
    expect(plan.regions.flatMap(({ targets }) => targets)).to.have.length(6);
  });
});
