/**
 * Faults of a fake target.
 */

/** What the target does with one request. */
type Fault =
  | 'none'
  | 'late'
  | 'shed'
  | 'plain-503'
  | 'die-before-run'
  | 'die-after-run'
  | 'cut-answer'
  | 'cut-chunks'
  | 'cut-stream'
  | 'short-length'
  | 'long-length'
  | 'unframed-whole'
  | 'unframed-reset'
  | 'garbage'
  | 'silent-before-run'
  | 'silent-after-run'
  | 'die-after-answer'
  | 'drop-all-after-answer'
  | 'hints';

export default Fault;
