/**
 * The first configuration of a deployment.
 */
import { isLeft, right } from 'fp-ts/lib/Either.js';
import { isSome } from 'fp-ts/lib/Option.js';
import makeChange from 'burdockcovectl/commands/makeChange';
import buildContext from '../demo/buildContext.js';
import type Deployment from './Deployment.js';
import type RunningVm from './RunningVm.js';

function ownsSlots({ configuration }: Deployment, { process }: RunningVm): boolean {
  return configuration.targets.some(({ name }) => process.shares.ledger.countOwned(name) > 0);
}

/** Stores the configuration and waits until every entry VM has it and owns slots. */
export default async function applyConfiguration(deployment: Deployment): Promise<void> {
  const result = await makeChange(buildContext(deployment, 'citra'), {
    reason: 'first configuration',
    dryRun: false,
    demand: [],
    build: () => right(deployment.configuration),
  });
  if (isLeft(result)) {
    throw new Error(`change refused: ${JSON.stringify(result.left)}`);
  }
  await deployment.waitUntil('every entry VM has the configuration', () =>
    deployment.vms.every(({ process }) => isSome(process.control.configuration.getCurrent())),
  );
  await deployment.waitUntil('every entry VM owns slots', () =>
    deployment.vms.every((vm) => ownsSlots(deployment, vm)),
  );
}
