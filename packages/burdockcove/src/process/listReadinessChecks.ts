/**
 * Conditions that must hold before an entry VM takes requests.
 */
import { isNone, isSome } from 'fp-ts/lib/Option.js';
import type StopState from '@burdockcove/forward/drain/StopState';
import type Settings from '@burdockcove/types/Settings';
import type ReadinessCheck from '../admin/ReadinessCheck.js';
import type ControlParts from './ControlParts.js';

function findPlaceFault(settings: Settings, control: ControlParts): string | undefined {
  const current = control.configuration.getCurrent();
  if (isNone(current)) {
    return undefined;
  }
  const { failureDomains } = current.value.configuration;
  const domain = failureDomains.find(({ name }) => name === settings.failureDomain);
  if (domain === undefined) {
    return `the configuration has no failure domain '${settings.failureDomain}'`;
  }
  return domain.region === settings.region
    ? undefined
    : `failure domain '${domain.name}' is in region '${domain.region}', the settings say '${settings.region}'`;
}

/** The reasons are shown by `GET /readyz`. */
export default function listReadinessChecks(
  settings: Settings,
  control: ControlParts,
  stop: StopState,
): readonly ReadinessCheck[] {
  return [
    {
      name: 'state',
      findReason: () =>
        control.replica.isReady() ? undefined : 'the shared state was not read yet',
    },
    {
      name: 'configuration',
      findReason: () =>
        isSome(control.configuration.getCurrent()) ? undefined : 'no configuration yet',
    },
    { name: 'place', findReason: () => findPlaceFault(settings, control) },
    { name: 'stop', findReason: () => (stop.isLeaving() ? 'this VM is leaving' : undefined) },
  ];
}
