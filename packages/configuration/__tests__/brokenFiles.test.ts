/**
 * Messages for broken files: every fault of a file at once.
 */
import { readdir, readFile } from 'node:fs/promises';
import { expect } from 'chai';
import { isLeft } from 'fp-ts/lib/Either.js';
import snapshot from 'snap-shot-it';
import formatFaults from '../src/formatFaults.js';
import parseConfiguration from '../src/parseConfiguration.js';
import parseSettings from '../src/parseSettings.js';

const FIXTURES = new URL('__fixtures__/broken/', import.meta.url);
const names = (await readdir(FIXTURES)).sort();

describe('broken files', () => {
  names.forEach((name) => {
    it(`names every fault of ${name}`, async () => {
      const text = await readFile(new URL(name, FIXTURES), 'utf8');
      const parse = name.startsWith('settings') ? parseSettings : parseConfiguration;
      const parsed = parse(name, text);
      expect(isLeft(parsed)).to.equal(true);
      snapshot(isLeft(parsed) ? formatFaults(parsed.left).split('\n') : []);
    });
  });
});
