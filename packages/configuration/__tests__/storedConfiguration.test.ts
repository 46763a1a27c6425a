/**
 * Stored configurations over versions.
 */
import { expect } from 'chai';
import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import buildAccepted from '@burdockcove/standins/configuration/buildAccepted';
import encodeStoredConfiguration from '../src/stored/encodeStoredConfiguration.js';
import parseStoredConfiguration from '../src/stored/parseStoredConfiguration.js';

const accepted = buildAccepted();
const { configuration } = accepted;
const [firstTarget, ...otherTargets] = configuration.targets;
const newer = {
  ...accepted,
  signature: 'abc',
  configuration: {
    ...configuration,
    quotas: { perMember: 5 },
    targets: [
      { ...firstTarget, rack: 'r7', labels: { track: 'steady', gone: 'x' } },
      ...otherTargets,
    ],
  },
};

describe('stored configuration', () => {
  it('keeps fields of a newer version over a rewrite, and not what the rewrite removed', () => {
    const parsed = parseStoredConfiguration(JSON.stringify(newer));
    expect(isRight(parsed)).to.equal(true);
    if (isLeft(parsed)) {
      return;
    }
    expect(parsed.right.accepted.configuration).to.not.have.property('quotas');
    const rewritten = { ...accepted, revision: 2 };
    const text = encodeStoredConfiguration(rewritten, parsed.right.raw);
    const value = JSON.parse(text) as typeof newer;
    expect(value.revision).to.equal(2);
    expect(value.signature).to.equal('abc');
    expect(value.configuration.quotas).to.deep.equal({ perMember: 5 });
    expect(value.configuration.targets[0]).to.include({ name: 'near-1', rack: 'r7' });
    expect(value.configuration.targets[0]?.labels).to.deep.equal({ track: 'steady' });
    expect(value.configuration.targets[1]).to.deep.equal(otherTargets[0]);
  });

  it('refuses an unknown version and what is no configuration', () => {
    const refuse = (value: unknown): string => {
      const parsed = parseStoredConfiguration(JSON.stringify(value));
      return isLeft(parsed) ? parsed.left : '';
    };
    expect(refuse({ ...accepted, version: 2 })).to.contain('version');
    expect(refuse({ ...accepted, configuration: { ...configuration, version: 9 } })).to.contain(
      'configuration.version',
    );
    expect(refuse([])).to.not.equal('');
    expect(isLeft(parseStoredConfiguration('{'))).to.equal(true);
  });
});
