/**
 * The operators of the demo.
 */
import { isLeft, right, type Either } from 'fp-ts/lib/Either.js';
import makeChange from 'burdockcovectl/commands/makeChange';
import runLabel from 'burdockcovectl/commands/runLabel';
import type CommandResult from 'burdockcovectl/commands/CommandResult';
import type CtlFailure from 'burdockcovectl/errors/CtlFailure';
import waitFor from '@burdockcove/runtime/waitFor';
import type Configuration from '@burdockcove/types/Configuration';
import type Deployment from '../deployment/Deployment.js';
import buildContext from './buildContext.js';

const ATTEMPTS = 5;
const RETRY_MS = 500;
const REQUEST = { reason: 'demo', dryRun: false, demand: [] };

/** Changes the configuration as `burdockcovectl` does. */
export default class DemoOperator {
  constructor(private readonly deployment: Deployment) {}

  /** Throws where the change is refused. */
  async change(reason: string, build: (current: Configuration) => Configuration): Promise<void> {
    const { configuration } = this.deployment;
    const result = await makeChange(buildContext(this.deployment, 'citra'), {
      ...REQUEST,
      reason,
      build: (current) => right(build(current ?? configuration)),
    });
    if (isLeft(result)) {
      throw new Error(`change refused: ${JSON.stringify(result.left)}`);
    }
  }

  /** Throws where the change is refused. */
  async label(words: string): Promise<void> {
    const result = await this.tryLabel(words);
    if (isLeft(result)) {
      throw new Error(`label refused: ${JSON.stringify(result.left)}`);
    }
  }

  tryLabel(words: string): Promise<Either<CtlFailure, CommandResult>> {
    return runLabel(buildContext(this.deployment, 'dewi'), {
      ...REQUEST,
      words: words.split(' '),
    });
  }

  /** Tries a few times; returns whether the change was accepted. */
  async retryLabel(words: string): Promise<boolean> {
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const result = await this.tryLabel(words);
      if (!isLeft(result)) {
        return true;
      }
      await waitFor(this.deployment.clock, RETRY_MS);
    }
    return false;
  }
}
