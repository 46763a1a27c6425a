/**
 * Store errors of reads, as failures of a command.
 */
import type StoreError from '@burdockcove/types/StoreError';
import type CtlFailure from './CtlFailure.js';

/** A read changes nothing, so the command is refused. */
export default function toReadFailure(error: StoreError): CtlFailure {
  const { step, peer } = error;
  return {
    _tag: 'Refused',
    step,
    peer,
    detail: `the store could not be read: ${error.detail}`,
    lines: [],
  };
}
