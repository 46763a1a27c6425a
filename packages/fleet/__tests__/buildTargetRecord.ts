/**
 * Builds target records for tests.
 */
import type TargetRecord from '../src/TargetRecord.js';

/** Returns a warm, ready target of the service `desk`, started long ago. */
export default function buildTargetRecord(
  name: string,
  changes: Partial<TargetRecord> = {},
  failureDomain = 'a',
): TargetRecord {
  return {
    target: { name, service: 'desk', address: '127.0.0.1:1', failureDomain, slots: 3, labels: {} },
    region: 'north',
    isLeaving: false,
    startedAtMs: -1_000_000,
    coldMs: 0,
    ...changes,
  };
}
