/**
 * Registration of services at the peer port.
 */
import type { ConnectRouter } from '@connectrpc/connect';

/** Adds the routes of one or more services; called once for each server. */
type RouteRegistrar = (router: ConnectRouter) => void;

export default RouteRegistrar;
