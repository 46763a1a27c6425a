/**
 * Target chooser for tests.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Target from '@burdockcove/types/Target';
import type AttemptResult from '../../src/AttemptResult.js';
import type Choice from '../../src/Choice.js';
import type ChoiceRequest from '../../src/ChoiceRequest.js';
import type TargetChooser from '../../src/TargetChooser.js';

/** Chooses the first target that was not tried yet, without limits. */
class OrderedChooser implements TargetChooser {
  readonly results: AttemptResult[] = [];

  held = 0;

  constructor(private readonly targets: readonly Target[]) {}

  chooseTarget(wish: ChoiceRequest): Promise<Either<RequestFailure, Choice>> {
    const target = this.targets.find(({ name }) => !wish.tried.includes(name));
    if (target === undefined) {
      const peer = 'none';
      const detail = 'every target was tried';
      return Promise.resolve(
        left({ _tag: 'NotRun', reason: 'no-target', step: 'choose', peer, detail }),
      );
    }
    this.held += 1;
    let isHeld = true;
    const release = (): void => {
      this.held -= isHeld ? 1 : 0;
      isHeld = false;
    };
    return Promise.resolve(
      right({
        target,
        region: 'r',
        permit: { target: target.name, release },
        reportResult: (result) => this.results.push(result),
      }),
    );
  }
}

export default OrderedChooser;
