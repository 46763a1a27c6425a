/**
 * What a look-up costs an entry VM.
 */
import StaticMembership from '@burdockcove/control/StaticMembership';
import Random from '@burdockcove/runtime/Random';
import ConfiguredShiftPositions from '@burdockcove/steering/ConfiguredShiftPositions';
import EntriesRanker from '@burdockcove/steering/EntriesRanker';
import FixedConfigurationSource from '@burdockcove/steering/FixedConfigurationSource';
import SteeringSource from '@burdockcove/steering/SteeringSource';
import type EntryVm from '@burdockcove/types/EntryVm';
import type SlopeMeasurement from '../SlopeMeasurement.js';
import buildSizedConfiguration from './buildSizedConfiguration.js';
import measureBestMs from './measureBestMs.js';

const NODE_SIZES = [750, 1500, 3000, 6000];
const LOOK_UPS = 20_000;
const CLIENTS = 200;
const MICROSECONDS_PER_MS = 1000;
const FEW_TARGETS = 10;
const REGIONS = ['near', 'middle', 'far'];

function buildVm(index: number): EntryVm {
  const region = REGIONS[index % REGIONS.length] ?? '';
  const ip = `127.3.${Math.floor(index / CLIENTS)}.${1 + (index % CLIENTS)}`;
  const failureDomain = `${region}-a`;
  return { address: `${ip}:8080`, peerAddress: `${ip}:8081`, region, failureDomain };
}

function buildRanker(nodes: number, seed: number): EntriesRanker {
  const source = new FixedConfigurationSource(buildSizedConfiguration(FEW_TARGETS));
  const vms = Array.from({ length: nodes }, (_none, index) => buildVm(index));
  const membership = new StaticMembership(vms[0] ?? buildVm(0), vms.slice(1));
  const positions = new ConfiguredShiftPositions(source);
  const steering = new SteeringSource({
    source,
    membership,
    positions,
    random: new Random(seed),
  });
  return new EntriesRanker(steering, membership);
}

const operationMeasurements: readonly SlopeMeasurement[] = [
  {
    name: 'lookup-us',
    summary: 'Processor time to find the answer to a look-up, without HTTP',
    per: 'nodes',
    unit: 'µs',
    sizes: NODE_SIZES,
    measure: async (size, seed) => {
      const ranker = buildRanker(size, seed);
      const clients = Array.from({ length: CLIENTS }, (_none, index) => `127.5.1.${index}`);
      const bestMs = measureBestMs(() => {
        for (let index = 0; index < LOOK_UPS; index += 1) {
          ranker.findResponse('catalogue', clients[index % CLIENTS] ?? '');
        }
      });
      return (bestMs * MICROSECONDS_PER_MS) / LOOK_UPS;
    },
  },
];

export default operationMeasurements;
