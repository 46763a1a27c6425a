/**
 * The users' target size, from their first letter.
 */
import type TargetSize from './TargetSize.js';

const SECONDS_PER_DAY = 86_400;

/** What the system has to carry in about two years. */
const twoYearTarget: TargetSize = {
  nodes: 6000,
  blocks: 730_000,
  sites: 670,
  regions: 19,
  domains: 74,
  lookupsPerSecond: 6_600_000,
  changesPerSecond: 3100 / SECONDS_PER_DAY,
  changesPerDay: 3100,
  failuresPerDay: 12,
  restartsPerDay: 1500,
  maxCoreShare: 0.016,
  maxControlBytes: 32 * 1024 * 1024,
  maxControlBytesPerSecond: 13 * 1024,
  maxInForceSeconds: 15,
  storeWritesPerSecond: 300,
  storeReadsPerSecond: 2000,
};

export default twoYearTarget;
