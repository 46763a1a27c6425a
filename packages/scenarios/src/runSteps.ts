/**
 * Running of one scenario.
 */
import type { Pickle } from '@cucumber/messages';
import type Step from './Step.js';

function findStep<World>(
  steps: readonly Step<World>[],
  text: string,
): { readonly step: Step<World>; readonly groups: readonly string[] } {
  const found = steps.flatMap((step) => {
    const match = step.pattern.exec(text);
    return match === null ? [] : [{ step, groups: match.slice(1) }];
  });
  if (found.length !== 1 || found[0] === undefined) {
    throw new Error(`step "${text}" matches ${found.length} patterns`);
  }
  return found[0];
}

/** Finds every step before it runs the first, so that a misspelt step fails at once. */
export default async function runSteps<World>(
  pickle: Pickle,
  steps: readonly Step<World>[],
  world: World,
): Promise<void> {
  const found = pickle.steps.map(({ text }) => findStep(steps, text));
  for (const { step, groups } of found) {
    await step.run(world, groups);
  }
}
