/**
 * The configuration compiled for the request path.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type Customer from './Customer.js';
import type KeyRule from './KeyRule.js';
import type OperationSemantics from './OperationSemantics.js';
import type RoutePlan from './RoutePlan.js';
import type Service from './Service.js';

/** Rebuilt with each newer configuration and each step of a shift. */
interface Steering {
  readonly revision: number;
  /** The service for the host name and path, or none. */
  findService(host: string, path: string): Option<Service>;
  /** Whether a request of the service for the path must carry a customer's key. */
  getKeyRule(service: Service, path: string): KeyRule;
  /** Returns the customer with the key, as it stands in the request's header. */
  findCustomer(key: string): Customer | undefined;
  getSemantics(service: Service, method: string, path: string): OperationSemantics;
  /**
   * Draws a route by the weights in force and lists the targets that may serve. Requests with the same affinity key
   * may be kept on one route. Only regions that the customer allows are listed.
   */
  planRoute(
    service: Service,
    clientAddress: string,
    affinityKey?: string,
    customer?: Customer,
  ): RoutePlan;
}

export default Steering;
