/**
 * Steering for tests, with one service.
 */
import { none, some } from 'fp-ts/lib/Option.js';
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import type Service from '@burdockcove/types/Service';
import type Steering from '@burdockcove/types/Steering';

/** Paths below `/once` are at-most-once; the first label of the host is the service's name. */
function buildSteering(service: Service, allRepeatable = false): Steering {
  return {
    revision: 7,
    findService: (host) => (host.split(/[.:]/)[0] === service.name ? some(service) : none),
    getKeyRule: () => 'none',
    findCustomer: () => undefined,
    getSemantics: (_service, _method, path): OperationSemantics =>
      !allRepeatable && path.startsWith('/once') ? 'at-most-once' : 'repeatable',
    planRoute: () => ({
      selector: '',
      clientRegion: '',
      routeIndex: 0,
      targetService: '',
      regions: [],
    }),
  };
}

export default buildSteering;
