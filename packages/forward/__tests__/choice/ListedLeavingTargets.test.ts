/**
 * Targets that leave by their labels, by removal from the configuration, or by the VM list.
 */
import { expect } from 'chai';
import { none, some } from 'fp-ts/lib/Option.js';
import StaticMembership from '@burdockcove/control/StaticMembership';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type Target from '@burdockcove/types/Target';
import ListedLeavingTargets from '../../src/health/ListedLeavingTargets.js';
import ChooserHarness from './ChooserHarness.js';

const LEAVING = { leaving: 'true' };

function buildAccepted(
  targets: readonly Target[],
  domainLabels: Readonly<Record<string, string>>,
): AcceptedConfiguration {
  const { service } = new ChooserHarness();
  return {
    version: 1,
    revision: 1,
    changeId: 'c',
    operator: 'o',
    reason: 'r',
    baseRevision: 0,
    acceptedAt: '',
    configuration: {
      version: 1,
      regions: [{ name: 'near', labels: {}, maxInFlight: {} }],
      failureDomains: [{ name: 'near-a', region: 'near', labels: domainLabels }],
      links: [],
      services: [service],
      targets,
      selectors: [],
      clientBlocks: [],
      entriesMaxAgeSeconds: 30,
      maxEntryVms: 1,
    },
  };
}

describe('ListedLeavingTargets', () => {
  const [first, second] = new ChooserHarness().regions[0]?.targets as readonly [Target, Target];
  const self = { address: 'a:1', peerAddress: 'a:2', region: 'near', failureDomain: 'near-a' };
  const membership = new StaticMembership(self, []);
  let publish: (accepted: AcceptedConfiguration) => void = () => undefined;
  const source: ConfigurationSource = {
    getCurrent: () => none,
    subscribe: (listener) => {
      publish = listener;
      return () => undefined;
    },
  };

  it('follows labels of targets and failure domains, and removal from the configuration', () => {
    const leaving = new ListedLeavingTargets(source, membership);
    const readLeaving = (): readonly boolean[] =>
      [first, second].map((target) => leaving.isLeaving(target));
    expect(readLeaving()).to.deep.equal([false, false]);
    publish(buildAccepted([first, { ...second, labels: LEAVING }], {}));
    expect(readLeaving()).to.deep.equal([false, true]);
    publish(buildAccepted([first], {}));
    expect(readLeaving()).to.deep.equal([false, true]);
    publish(buildAccepted([first, second], LEAVING));
    expect(readLeaving()).to.deep.equal([true, true]);
  });

  it('follows the VM list', () => {
    const listed = Object.assign(new StaticMembership(self, []), {
      isTargetLeaving: (address: string) => address === first.address,
    });
    const accepted = buildAccepted([first, second], {});
    const leaving = new ListedLeavingTargets(
      { ...source, getCurrent: () => some(accepted) },
      listed,
    );
    expect(leaving.isLeaving(first)).to.equal(true);
    expect(leaving.isLeaving(second)).to.equal(false);
  });
});
