/**
 * Timing of plans and loans in the `burdockcove` process.
 */
import type ShareTiming from './ShareTiming.js';

const DEFAULT_SHARE_TIMING: ShareTiming = {
  loanTermMs: 1_000,
  marginMs: 1_000,
  clockDriftRatio: 0.01,
  maxPauseMs: 5_000,
};

export default DEFAULT_SHARE_TIMING;
