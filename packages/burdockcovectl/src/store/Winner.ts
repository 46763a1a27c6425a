/**
 * Whose write a key holds after a compare failed.
 */
import type StoreError from '@burdockcove/types/StoreError';

/** An error stands for a read that failed. */
type Winner = 'own' | 'other' | StoreError;

export default Winner;
