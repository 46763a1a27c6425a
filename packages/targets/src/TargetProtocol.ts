/**
 * What the answers, health and load reports of targets mean.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type PeerError from '@burdockcove/types/PeerError';
import type AnswerMeaning from './AnswerMeaning.js';
import type TargetLoad from './TargetLoad.js';

/** One adapter a platform; nothing else interprets what a target says. */
interface TargetProtocol {
  interpretAnswer(
    status: number,
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  ): AnswerMeaning;
  readHealth(address: string): TaskEither<PeerError, boolean>;
  readLoad(address: string): TaskEither<PeerError, TargetLoad>;
}

export default TargetProtocol;
