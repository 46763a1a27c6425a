/**
 * Transactions that were not proven to take effect, as failures of a command.
 */
import type CommitOutcome from '../store/CommitOutcome.js';
import type CtlFailure from './CtlFailure.js';

/** `advice` says how an unknown outcome is found out later. */
export default function toCommitFailure(
  outcome: Extract<CommitOutcome, { readonly _tag: 'Refused' | 'Unknown' }>,
  advice: string,
): CtlFailure {
  const { step, peer, detail } = outcome.error;
  return outcome._tag === 'Refused'
    ? { _tag: 'Refused', step, peer, detail: `nothing was stored: ${detail}`, lines: [] }
    : { _tag: 'Unknown', step, peer, detail: `outcome unknown: ${detail}`, lines: [advice] };
}
