/**
 * Configurations of a given size.
 */
import buildAccepted from '@burdockcove/standins/configuration/buildAccepted';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';

const SUBNET = 250;

/** The small configuration of the tests with as many targets as asked for. */
export default function buildSizedConfiguration(targets: number): AcceptedConfiguration {
  const accepted = buildAccepted();
  const [sample] = accepted.configuration.targets;
  if (sample === undefined) {
    throw new Error('the sample configuration has no targets');
  }
  const rows = Array.from({ length: targets }, (_none, index) => ({
    ...sample,
    name: `target-${index}`,
    address: `127.8.${Math.floor(index / SUBNET)}.${1 + (index % SUBNET)}:9100`,
  }));
  return { ...accepted, configuration: { ...accepted.configuration, targets: rows } };
}
