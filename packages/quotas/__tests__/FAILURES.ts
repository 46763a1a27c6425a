/**
 * The failures under which the bound has to hold.
 */
import type FakeFleet from './FakeFleet.js';
import type FakeVm from './FakeVm.js';

/** Until a changed membership or a failure has taken effect. */
const SETTLE_MS = 6000;
const JOIN_MS = 3000;
const TAKE_OVER_MS = 12_000;

type Script = (fleet: FakeFleet) => Promise<void>;

function listVms(fleet: FakeFleet): readonly FakeVm[] {
  return [...fleet.vms.values()];
}

/** Returns the owners of parts of the two customers. */
function listOwners(fleet: FakeFleet): readonly FakeVm[] {
  return listVms(fleet).filter(({ owner }) => owner.countOwned() > 0);
}

function restart(fleet: FakeFleet, vms: readonly FakeVm[], afterMs: number): Promise<void> {
  vms.forEach(({ clock }) => clock.kill());
  vms.forEach(({ member }) => fleet.time.startTimer(afterMs, () => fleet.startVm(member.name)));
  return fleet.time.advance(afterMs);
}

function cutOff(
  fleet: FakeFleet,
  names: ReadonlySet<string>,
  from: (name: string) => boolean,
): void {
  const { network } = fleet;
  network.canPass = (a, b) => !(names.has(a) && from(b)) && !(names.has(b) && from(a));
}

async function freezeOwners(fleet: FakeFleet, ms: number, isSuspended: boolean): Promise<void> {
  const owners = listOwners(fleet);
  owners.forEach(({ clock }) => clock.freeze());
  await fleet.time.advance(ms);
  owners.forEach(({ clock }) => clock.resume(isSuspended));
}

/** The VMs see the membership late by the time given. */
function delayViews(vms: readonly FakeVm[], ms: number): void {
  vms.forEach((vm) => {
    // eslint-disable-next-line no-param-reassign -- a condition of the run.
    vm.viewDelayMs = ms;
  });
}

/** Starts three times as many VMs, so that most parts get another owner. */
function startMoreVms(fleet: FakeFleet): void {
  const { size } = fleet.vms;
  Array.from({ length: 3 * size }, (_, index) => fleet.startVm(`vm-${size + index}`));
}

async function addVms(fleet: FakeFleet): Promise<void> {
  startMoreVms(fleet);
  await fleet.time.advance(JOIN_MS);
}

/** The VMs that were there before see the new ones late. */
async function addVmsUnseen(fleet: FakeFleet, delayMs: number): Promise<void> {
  const before = listVms(fleet);
  delayViews(before, delayMs);
  await fleet.time.advance(SETTLE_MS);
  await addVms(fleet);
  await fleet.time.advance(TAKE_OVER_MS);
  delayViews(before, 0);
}

/** Owners see the new VMs late, and the others so late that they ask the earlier owners meanwhile. */
async function addVmsUnseenByOthers(fleet: FakeFleet): Promise<void> {
  const before = listVms(fleet);
  const owners = listOwners(fleet);
  delayViews(before, 15_000);
  delayViews(owners, 3900);
  await fleet.time.advance(SETTLE_MS);
  await addVms(fleet);
  await fleet.time.advance(TAKE_OVER_MS);
  delayViews(before, 0);
}

/** VMs added unseen restart before they have been registered for as long as an owner must be. */
async function restartAddedVms(fleet: FakeFleet): Promise<void> {
  const before = listVms(fleet);
  delayViews(before, 3900);
  await fleet.time.advance(SETTLE_MS);
  startMoreVms(fleet);
  await fleet.time.advance(1500);
  const added = listVms(fleet).filter((vm) => !before.includes(vm));
  await restart(fleet, added, 50);
  await fleet.time.advance(TAKE_OVER_MS);
  delayViews(before, 0);
}

/** Owners leave, and come back when others have taken their parts over; all see changes late. */
async function replaceOwners(fleet: FakeFleet, afterMs: number, delayMs: number): Promise<void> {
  delayViews(listVms(fleet), delayMs);
  await fleet.time.advance(SETTLE_MS);
  const owners = listOwners(fleet);
  owners.forEach((vm) => vm.deregister());
  await restart(fleet, owners, afterMs);
  await fleet.time.advance(TAKE_OVER_MS);
  delayViews(listVms(fleet), 0);
}

/** Each runs while callers send more than the quota. */
const FAILURES: Readonly<Record<string, Script>> = {
  'no failure': () => Promise.resolve(),
  'owners killed and restarted at once': (fleet) => restart(fleet, listOwners(fleet), 50),
  'owners killed and restarted after a second': (fleet) => restart(fleet, listOwners(fleet), 1000),
  'owners back after their successors took over': (fleet) =>
    restart(fleet, listOwners(fleet), 7000),
  'owners back just as their leases end': (fleet) => restart(fleet, listOwners(fleet), 3700),
  'all VMs killed and restarted at once': async (fleet) => {
    await restart(fleet, listVms(fleet), 50);
    await fleet.time.advance(1500);
    await restart(fleet, listVms(fleet), 1000);
  },
  'all VMs back after all leases have ended': (fleet) => restart(fleet, listVms(fleet), 6000),
  'owners cut off from the store': async (fleet) => {
    const names = new Set(listOwners(fleet).map(({ member }) => member.name));
    cutOff(fleet, names, (name) => name === 'store');
    await fleet.time.advance(9000);
    cutOff(fleet, new Set(), () => false);
  },
  'owners cut off from the store and half of the VMs': async (fleet) => {
    const names = new Set(listOwners(fleet).map(({ member }) => member.name));
    cutOff(fleet, names, (name) => name === 'store' || Number(name.split('-')[1]) % 2 === 0);
    await fleet.time.advance(9000);
    cutOff(fleet, new Set(), () => false);
  },
  'owners that cannot renew their leases but read': async (fleet) => {
    const owners = listOwners(fleet);
    const setRenewal = (canRenew: boolean): void =>
      owners.forEach((vm) => {
        // eslint-disable-next-line no-param-reassign -- a condition of the run.
        vm.canRenew = canRenew;
      });
    setRenewal(false);
    await fleet.time.advance(9000);
    setRenewal(true);
  },
  'owners frozen for less than a lease': (fleet) => freezeOwners(fleet, 3000, false),
  'owners frozen for a lease': (fleet) => freezeOwners(fleet, 4300, false),
  'owners frozen for long': (fleet) => freezeOwners(fleet, 8000, false),
  'owners suspended for less than a lease': (fleet) => freezeOwners(fleet, 3000, true),
  'owners suspended for a lease': (fleet) => freezeOwners(fleet, 4300, true),
  'owners suspended for long': (fleet) => freezeOwners(fleet, 8000, true),
  'VMs added that take parts over': addVms,
  'VMs added while views are stale': (fleet) => addVmsUnseen(fleet, 3900),
  'VMs added while views are stale, those of others than owners more': addVmsUnseenByOthers,
  'VMs added while views are older than an owner accepts': (fleet) => addVmsUnseen(fleet, 9000),
  'VMs added while views are stale, and restarted while they wait': restartAddedVms,
  'owners deregistered and back': (fleet) => replaceOwners(fleet, 3000, 0),
  'owners deregistered and back while views are stale': (fleet) => replaceOwners(fleet, 6000, 3900),
  'owners deregistered and back twice while views are stale': async (fleet) => {
    await replaceOwners(fleet, 6000, 3900);
    await replaceOwners(fleet, 4500, 3000);
  },
  'many lost and late messages': async (fleet) => {
    fleet.network.setQuality(0.15, 0.3);
    await fleet.time.advance(8000);
    fleet.network.setQuality(0.02, 0.02);
  },
};

export default FAILURES;
