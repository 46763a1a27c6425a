/**
 * Operators at a store stand-in, on a fake clock.
 */
import { readFile } from 'node:fs/promises';
import { isRight } from 'fp-ts/lib/Either.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import type CommandLine from '../src/CommandLine.js';
import type CommandContext from '../src/commands/CommandContext.js';
import type CommandResult from '../src/commands/CommandResult.js';
import createFailure from '../src/errors/createFailure.js';
import type CtlFailure from '../src/errors/CtlFailure.js';
import runCommand from '../src/runCommand.js';

type Answer = CtlFailure | (CommandResult & { readonly _tag: 'Done' });

const EXAMPLE = new URL('../../../examples/java/configuration.jsonc', import.meta.url);

/** Runs commands as named operators; the clock moves while they wait. */
export default async function buildBench() {
  const clock = new FakeClock();
  const store = new StoreStandIn(clock);
  const example = await readFile(EXAMPLE, 'utf8');
  let ids = 0;

  function buildContext(operator: string): CommandContext {
    return {
      store,
      clock,
      operator,
      createId: () => {
        ids += 1;
        return `change-${ids}`;
      },
      admins: [],
      fetchAdmin: async () => ({ _tag: 'Left', left: createFailure('Refused', 'ask', 'none') }),
    };
  }

  async function run(
    operator: string,
    words: readonly string[],
    flags: Partial<CommandLine['flags']> = {},
  ): Promise<Answer> {
    const [command, ...rest] = words;
    const line = {
      command,
      words: rest,
      flags: { dryRun: false, demand: [], limit: 50, reason: 'because', ...flags },
    };
    let answer: Answer | undefined;
    const done = runCommand(buildContext(operator), line).then((result) => {
      answer = isRight(result) ? { _tag: 'Done', ...result.right } : result.left;
    });
    while (answer === undefined) {
      await clock.advance(100);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    await done;
    return answer;
  }

  return { clock, store, example, run };
}
