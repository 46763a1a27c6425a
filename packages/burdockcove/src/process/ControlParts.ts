/**
 * The assembled control: what many entry VMs have in common.
 */
import type GossipMembership from '@burdockcove/control/membership/GossipMembership';
import type PeerClients from '@burdockcove/control/peer/PeerClients';
import type RouteRegistrar from '@burdockcove/control/peer/RouteRegistrar';
import type StateReplica from '@burdockcove/control/replica/StateReplica';
import type RoleKeeper from '@burdockcove/store/RoleKeeper';
import type Child from '@burdockcove/runtime/Child';
import type AuditSink from '@burdockcove/types/AuditSink';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';

/** `children` run before everything that uses the shared state. */
interface ControlParts {
  readonly replica: StateReplica;
  readonly configuration: ConfigurationSource;
  readonly membership: GossipMembership;
  readonly peers: PeerClients;
  readonly roles: { readonly planner: RoleKeeper; readonly shift: RoleKeeper };
  readonly audit: AuditSink;
  readonly routes: readonly RouteRegistrar[];
  readonly children: readonly Child[];
}

export default ControlParts;
