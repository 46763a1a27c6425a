/**
 * Which stored configurations come into force.
 */
import { expect } from 'chai';
import { isSome } from 'fp-ts/lib/Option.js';
import { Registry } from 'prom-client';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import StoreConfigurationSource from '../src/configuration/StoreConfigurationSource.js';
import StateReplica from '../src/replica/StateReplica.js';
import encodeConfiguration from './support/encodeConfiguration.js';

const KEY = 'state/configuration';

describe('StoreConfigurationSource', () => {
  it('refuses and counts what is unreadable, deleted or lower, and keeps the one in force', async () => {
    const registry = new Registry();
    const replica = new StateReplica(new FakeClock(), registry);
    const logger = new Logger('silent', 'json');
    const source = new StoreConfigurationSource(replica, logger, registry);
    const seen: number[] = [];
    source.subscribe(({ revision }) => seen.push(revision));
    const put = (value: string, revision: number): boolean =>
      replica.table.mergeEntry({ key: KEY, value, revision });
    put(encodeConfiguration(5), 10);
    put(encodeConfiguration(4), 11);
    put(encodeConfiguration(6).replace('"version":1', '"version":2'), 12);
    put('', 13);
    put(encodeConfiguration(7).replace('"version":1', '"version":1,"newField":true'), 14);
    put(encodeConfiguration(8), 9);
    expect(seen).to.deep.equal([5, 7]);
    const current = source.getCurrent();
    expect(isSome(current) && current.value.revision).to.equal(7);
    const metrics = await registry.metrics();
    expect(metrics).to.contain('burdockcove_configuration_refused_total{reason="revision"} 1');
    expect(metrics).to.contain('burdockcove_configuration_refused_total{reason="unreadable"} 1');
    expect(metrics).to.contain('burdockcove_configuration_refused_total{reason="deleted"} 1');
  });
});
