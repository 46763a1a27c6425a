/**
 * The times used by the `burdockcove` process.
 */
import type ShareTiming from './ShareTiming.js';

const DEFAULT_SHARE_TIMING: ShareTiming = {
  termMs: 1_000,
  marginMs: 1_000,
  driftShare: 0.01,
  pauseLimitMs: 5_000,
};

export default DEFAULT_SHARE_TIMING;
