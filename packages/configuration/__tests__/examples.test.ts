/**
 * The example files are valid and have the sizes that the users gave.
 */
import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import { isLeft } from 'fp-ts/lib/Either.js';
import formatFaults from '../src/formatFaults.js';
import parseConfiguration from '../src/parseConfiguration.js';
import parseSettings from '../src/parseSettings.js';

function readExample(name: string): Promise<string> {
  return readFile(new URL(`../../../examples/${name}`, import.meta.url), 'utf8');
}

const SIZES = {
  java: {
    catalogue: [16, 3, 330, 'headroom', true],
    ledger: [12, 3, 330, 'headroom', true],
    links: [4000, 20],
  },
  estonia: {
    rota: [22, 7, 390, 'latency', false],
    valve: [14, 8, 390, 'latency', false],
    links: [280, 35],
  },
} as const;

describe('examples', () => {
  Object.entries(SIZES).forEach(([deployment, { links, ...services }]) => {
    it(`accepts the settings and configuration of ${deployment}`, async () => {
      const settingsText = await readExample(`${deployment}/settings.jsonc`);
      const settings = parseSettings('settings.jsonc', settingsText);
      expect(isLeft(settings) ? formatFaults(settings.left) : '').to.equal('');
      const text = await readExample(`${deployment}/configuration.jsonc`);
      const parsed = parseConfiguration('configuration.jsonc', text);
      if (isLeft(parsed)) {
        expect.fail(formatFaults(parsed.left));
        return;
      }
      const configuration = parsed.right;
      expect(configuration.failureDomains).to.have.length(6);
      const sizes = configuration.services.map((service) => {
        const targets = configuration.targets.filter((each) => each.service === service.name);
        const { objective, billed, connectionsPerTarget } = service;
        const slots = new Set(targets.map((target) => target.slots));
        return [service.name, [targets.length, ...slots, connectionsPerTarget, objective, billed]];
      });
      expect(Object.fromEntries(sizes)).to.deep.equal(services);
      configuration.links.forEach((link) => {
        expect([link.megabitsPerSecond, link.oneWayMs]).to.deep.equal(links);
      });
      expect(configuration.links).to.have.length(3);
    });
  });
});
