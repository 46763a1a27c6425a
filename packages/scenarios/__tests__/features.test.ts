/**
 * Every scenario of the feature files, on the real code and real sockets.
 */
import { readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { Pickle } from '@cucumber/messages';
import ScenarioWorld from '../src/ScenarioWorld.js';
import checkSteps from '../src/checkSteps.js';
import faultSteps from '../src/faultSteps.js';
import readFeature from '../src/readFeature.js';
import runSteps from '../src/runSteps.js';
import type Step from '../src/Step.js';

const FEATURES = new URL('../features/', import.meta.url);
const SEED = 20261204;
const FIRST_OCTET = 60;
const LIMIT_MS = 60_000;

interface Holder {
  world?: ScenarioWorld;
}

function buildOpenStep(octet: number): Step<Holder> {
  return {
    pattern: /^the (java|estonia) deployment with steady Lookups and Orders$/,
    run: async (holder, [name]) => {
      const world = await ScenarioWorld.open({
        name: name === 'estonia' ? 'estonia' : 'java',
        octet,
        entryVmsPerDomain: 1,
        serviceMs: 40,
        listLagMs: 500,
        shiftWindowSeconds: 1,
        stopLimitMs: 15_000,
        seed: SEED,
        logLevel: 'silent',
      });
      Object.assign(holder, { world });
    },
  };
}

function bindStep({ pattern, run }: Step<ScenarioWorld>): Step<Holder> {
  return {
    pattern,
    run: async ({ world }, groups) => {
      if (world === undefined) {
        throw new Error('the scenario has no deployment yet');
      }
      await run(world, groups);
    },
  };
}

async function runScenario(pickle: Pickle, octet: number): Promise<void> {
  const holder: Holder = {};
  const steps = [buildOpenStep(octet), ...[...faultSteps, ...checkSteps].map(bindStep)];
  try {
    await runSteps(pickle, steps, holder);
  } finally {
    await holder.world?.close();
  }
}

// eslint-disable-next-line n/no-sync -- the test runner registers tests synchronously
const names = readdirSync(FEATURES)
  .filter((name) => name.endsWith('.feature'))
  .sort();
const pickles = names.flatMap((name) =>
  readFeature(fileURLToPath(new URL(name, FEATURES))).map((pickle) => ({ name, pickle })),
);

describe('scenarios', () => {
  pickles.forEach(({ name, pickle }, index) => {
    it(`${name}: ${pickle.name}`, () => runScenario(pickle, FIRST_OCTET + index)).timeout(LIMIT_MS);
  });
});
