/**
 * Steps that make something fail.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import buildContext from '@burdockcove/bench/demo/buildContext';
import runLabel from 'burdockcovectl/commands/runLabel';
import type ScenarioWorld from './ScenarioWorld.js';
import type Step from './Step.js';

async function labelLeaving(world: ScenarioWorld, name: string): Promise<void> {
  const result = await runLabel(buildContext(world.deployment, 'dewi'), {
    words: ['target', name, 'leaving=true'],
    reason: 'scenario',
    dryRun: false,
    demand: [],
  });
  Object.assign(world, { told: isRight(result) ? 'done' : result.left._tag });
}

function getLastVm({ deployment }: ScenarioWorld) {
  const vm = deployment.vms.at(-1);
  if (vm === undefined) {
    throw new Error('no entry VM runs');
  }
  return vm;
}

const faultSteps: readonly Step<ScenarioWorld>[] = [
  {
    pattern: /^target "([^"]+)" crashes$/,
    run: (world, [name = '']) => world.deployment.crashTarget(name),
  },
  {
    pattern: /^target "([^"]+)" drops the connection after running each request$/,
    run: async (world, [name = '']) => {
      Object.assign(world.getTarget(name).faults, { dropAfterRun: true });
    },
  },
  {
    pattern: /^open connections to target "([^"]+)" go silent$/,
    run: async (world, [name = '']) => world.getTarget(name).silenceOpenConnections(),
  },
  {
    pattern: /^target "([^"]+)" sheds every request$/,
    run: async (world, [name = '']) => {
      Object.assign(world.getTarget(name).faults, { shedAll: true });
    },
  },
  {
    pattern: /^target "([^"]+)" says that it drains$/,
    run: async (world, [name = '']) => {
      Object.assign(world.getTarget(name), { draining: true });
    },
  },
  {
    pattern: /^target "([^"]+)" is labelled leaving$/,
    run: (world, [name = '']) => labelLeaving(world, name),
  },
  {
    pattern: /^an entry VM stops as planned$/,
    run: (world) => world.deployment.stopVm(getLastVm(world)),
  },
  {
    pattern: /^an entry VM is killed$/,
    run: (world) => world.deployment.crashVm(getLastVm(world)),
  },
  {
    pattern: /^the store goes down$/,
    run: async ({ deployment }) => deployment.store.setDown(true),
  },
  {
    pattern: /^the store loses its next answer$/,
    run: async ({ deployment }) => deployment.store.loseAnswers(1),
  },
  {
    pattern: /^region "([^"]+)" is lost$/,
    run: ({ deployment }, [region = '']) => deployment.loseRegion(region),
  },
];

export default faultSteps;
