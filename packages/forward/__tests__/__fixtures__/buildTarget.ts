/**
 * Targets as configured.
 */
import type Target from '@burdockcove/types/Target';
import SERVICE from './SERVICE.js';

/** A target of the tests' service. */
function buildTarget(name: string, address: string): Target {
  const place = { failureDomain: 'f', slots: 8, labels: {} };
  return { name, service: SERVICE.name, address, ...place };
}

export default buildTarget;
