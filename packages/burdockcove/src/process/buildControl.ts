/**
 * Assembly of control.
 */
import ControlPlane from '@burdockcove/control/ControlPlane';
import StoreAuditTrail from '@burdockcove/control/audit/StoreAuditTrail';
import PeerClients from '@burdockcove/control/peer/PeerClients';
import LeaseRoleKeeper from '@burdockcove/control/roles/LeaseRoleKeeper';
import RendezvousCandidacy from '@burdockcove/control/roles/RendezvousCandidacy';
import CountingStore from '@burdockcove/platform/CountingStore';
import type EntryVm from '@burdockcove/types/EntryVm';
import type Settings from '@burdockcove/types/Settings';
import type ControlParts from './ControlParts.js';
import type EntryVmParts from './EntryVmParts.js';

function buildSelf(settings: Settings): EntryVm {
  return {
    address: `${settings.ip}:${settings.callerPort}`,
    peerAddress: `${settings.ip}:${settings.peerPort}`,
    region: settings.region,
    failureDomain: settings.failureDomain,
  };
}

/** The planner of a region is one of its own VMs; the shift role may be held anywhere. */
function buildRoles(
  { settings, store, clock, random, logger, registry }: EntryVmParts,
  { membership, replica }: ControlPlane,
): { readonly planner: LeaseRoleKeeper; readonly shift: LeaseRoleKeeper } {
  const roleStore = new CountingStore(store, 'roles', registry);
  const planner = `planner/${settings.region}`;
  const isInformed = (): boolean => membership.hasList() && replica.isReady();
  const local = new RendezvousCandidacy(membership, settings.region, isInformed);
  const anywhere = new RendezvousCandidacy(membership, '', isInformed);
  return {
    planner: new LeaseRoleKeeper(planner, clock, random, logger, roleStore, local),
    shift: new LeaseRoleKeeper('shift', clock, random, logger, roleStore, anywhere),
  };
}

/** Everything that agrees on something goes through the store or the replica built here. */
export default function buildControl(parts: EntryVmParts): ControlParts {
  const { settings, store, clock, random, logger, registry } = parts;
  const self = buildSelf(settings);
  const peers = new PeerClients();
  const vmListPollMs = settings.vmList.pollMs;
  const plane = new ControlPlane({ ...parts, self, vmListPollMs, transports: peers });
  const { replica, configuration, membership } = plane;
  const roles = buildRoles(parts, plane);
  const auditStore = new CountingStore(store, 'audit', registry);
  const audit = new StoreAuditTrail(clock, random, logger, auditStore, self.address, registry);
  return {
    replica,
    configuration,
    membership,
    peers,
    roles,
    audit,
    routes: [plane.registerRoutes],
    children: [...plane.children, roles.planner, roles.shift, audit],
  };
}
