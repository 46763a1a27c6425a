/**
 * Failures of commands.
 */
import type CtlFailure from './CtlFailure.js';

/** A failure that arose in this process, so that no peer is named. */
export default function createFailure(
  tag: CtlFailure['_tag'],
  step: string,
  detail: string,
  lines: readonly string[] = [],
): CtlFailure {
  return { _tag: tag, step, peer: 'burdockcovectl', detail, lines };
}
