/**
 * Route explanations as text.
 */
import { expect } from 'chai';
import { isSome } from 'fp-ts/lib/Option.js';
import snapshot from 'snap-shot-it';
import Random from '@burdockcove/runtime/Random';
import buildAccepted from '@burdockcove/standins/configuration/buildAccepted';
import ConfigurationIndex from '../src/ConfigurationIndex.js';
import CompiledSteering from '../src/CompiledSteering.js';
import explainRoute from '../src/explainRoute.js';
import formatExplanation from '../src/formatExplanation.js';
import RouteSequences from '../src/RouteSequences.js';

describe('explainRoute', () => {
  it('explains the selector, the shares, a running shift, and what was ruled out and why', () => {
    const accepted = buildAccepted();
    const [selector] = accepted.configuration.selectors;
    const others = { ...selector, name: 'middle-only', clientRegions: ['middle'] };
    const selectors = [others, selector].flatMap((each) => (each?.routes ? [each] : []));
    const index = new ConfigurationIndex(
      buildAccepted({ selectors: selectors as typeof accepted.configuration.selectors }),
    );
    const steering = new CompiledSteering(index, {
      ownRegion: 'near',
      positions: {
        getRoutes: () => [
          { targets: { track: 'steady' }, weight: 0.8 },
          { targets: { track: 'new' }, weight: 0.2 },
        ],
      },
      sequences: new RouteSequences(new Random(1)),
      isTargetLeaving: (address) => address === '127.9.2.1:9100',
    });
    const explanation = explainRoute(steering, 'catalogue', '10.3.0.1');
    snapshot(isSome(explanation) ? formatExplanation(explanation.value) : []);
    expect(isSome(explainRoute(steering, 'x', '10.3.0.1'))).to.equal(false);
  });
});
