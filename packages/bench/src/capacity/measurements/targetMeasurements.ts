/**
 * What the targets in the configuration cost each entry VM.
 */
import Random from '@burdockcove/runtime/Random';
import parseStoredConfiguration from '@burdockcove/configuration/stored/parseStoredConfiguration';
import StaticMembership from '@burdockcove/control/StaticMembership';
import ConfiguredShiftPositions from '@burdockcove/steering/ConfiguredShiftPositions';
import FixedConfigurationSource from '@burdockcove/steering/FixedConfigurationSource';
import SteeringSource from '@burdockcove/steering/SteeringSource';
import type AcceptedConfiguration from '@burdockcove/types/AcceptedConfiguration';
import type SlopeMeasurement from '../SlopeMeasurement.js';
import buildSizedConfiguration from './buildSizedConfiguration.js';
import measureBestMs from './measureBestMs.js';
import measureHeldBytes from './measureHeldBytes.js';

const SIZES = [84, 168, 335, 670];
const SELF = {
  address: '127.9.0.1:8080',
  peerAddress: '127.9.0.1:8081',
  region: 'near',
  failureDomain: 'near-a',
};

function compile(accepted: AcceptedConfiguration, seed: number): SteeringSource {
  const source = new FixedConfigurationSource(accepted);
  return new SteeringSource({
    source,
    membership: new StaticMembership(SELF, []),
    positions: new ConfiguredShiftPositions(source),
    random: new Random(seed),
  });
}

const targetMeasurements: readonly SlopeMeasurement[] = [
  {
    name: 'configuration-bytes',
    summary: 'Stored configuration without client blocks',
    per: 'targets',
    unit: 'bytes',
    sizes: SIZES,
    measure: async (size) => JSON.stringify(buildSizedConfiguration(size)).length,
  },
  {
    name: 'configuration-ms',
    summary: 'Processor time to check and compile a configuration',
    per: 'targets',
    unit: 'ms',
    sizes: SIZES,
    measure: async (size, seed) => {
      const accepted = buildSizedConfiguration(size);
      const text = JSON.stringify(accepted);
      return measureBestMs(() => {
        parseStoredConfiguration(text);
        compile(accepted, seed).close();
      });
    },
  },
  {
    name: 'configuration-memory',
    summary: 'Memory of a configuration, parsed and compiled',
    per: 'targets',
    unit: 'bytes',
    sizes: SIZES,
    measure: async (size, seed) => {
      const text = JSON.stringify(buildSizedConfiguration(size));
      return measureHeldBytes(
        () => compile(JSON.parse(text) as AcceptedConfiguration, seed),
        (steering) => steering.close(),
      );
    },
  },
];

export default targetMeasurements;
