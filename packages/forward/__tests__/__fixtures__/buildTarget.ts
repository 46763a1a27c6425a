/**
 * Builds configured targets for tests.
 */
import type Target from '@burdockcove/types/Target';
import SERVICE from './SERVICE.js';

/** Builds a target of the service for tests. */
function buildTarget(name: string, address: string): Target {
  const place = { failureDomain: 'f', slots: 8, labels: {} };
  return { name, service: SERVICE.name, address, ...place };
}

export default buildTarget;
