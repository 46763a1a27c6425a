/**
 * Answers of the admin server.
 */
import { expect } from 'chai';
import { Registry, Gauge } from 'prom-client';
import { fetch } from 'undici';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import ConfiguredShiftPositions from '@burdockcove/steering/ConfiguredShiftPositions';
import FixedConfigurationSource from '@burdockcove/steering/FixedConfigurationSource';
import SteeringSource from '@burdockcove/steering/SteeringSource';
import StaticMembership from '@burdockcove/control/StaticMembership';
import buildAccepted from '@burdockcove/standins/configuration/buildAccepted';
import AdminServer from '../src/admin/AdminServer.js';

const IP = '127.9.9.1';
const self = {
  address: `${IP}:8080`,
  peerAddress: `${IP}:8081`,
  region: 'near',
  failureDomain: 'near-a',
};

describe('AdminServer', () => {
  const source = new FixedConfigurationSource();
  const membership = new StaticMembership(self, []);
  const positions = new ConfiguredShiftPositions(source);
  const steering = new SteeringSource({ source, membership, positions, random: new Random(1) });
  const registry = new Registry();
  const abort = new AbortController();
  let reason: string | undefined = 'waiting for the first configuration';
  const server = new AdminServer({
    ip: IP,
    port: 0,
    logger: new Logger('silent', 'json'),
    registry,
    steering,
    checks: [{ name: 'configuration', findReason: () => reason }],
    sections: [{ name: 'members', describeStatus: () => membership.getMembers().length }],
    describer: {
      describeChoice: (service, plan) => ({
        service: service.name,
        objective: service.objective,
        waiting: 3,
        queueLate: false,
        needMs: 0,
        regions: plan.regions.slice(0, 1).map(({ region, oneWayMs, targets }) => ({
          region,
          oneWayMs,
          use: 0.5,
          ejectionIgnored: false,
          targets: targets.map(({ name }) => ({
            target: name,
            used: 2,
            free: 0,
            ruledOut: 'no-slot',
            lastResort: false,
            condition: 'healthy',
            latencyMs: 12,
            load: 1,
            reportAgeMs: null,
            slowStartShare: 1,
          })),
        })),
      }),
    },
  });
  let done: Promise<void>;

  async function fetchAnswer(path: string, method = 'GET') {
    const response = await fetch(`http://${IP}:${server.getPort()}${path}`, { method });
    return { status: response.status, text: await response.text() };
  }

  before(async () => {
    new Gauge({ name: 'test_gauge', help: 'for the test', registers: [registry] }).set(3);
    done = server.run(abort.signal);
    while (server.getPort() === undefined) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  });

  after(async () => {
    abort.abort();
    await done;
  });

  it('says why it is not ready, and that it is', async () => {
    const before = await fetchAnswer('/readyz');
    expect(before.status).to.equal(503);
    expect(before.text).to.contain('configuration: waiting for the first configuration');
    expect((await fetchAnswer('/healthz')).status).to.equal(200);
    expect((await fetchAnswer('/explain?service=catalogue&client=10.1.0.1')).status).to.equal(503);
    reason = undefined;
    source.setAccepted(buildAccepted({}, 9));
    expect((await fetchAnswer('/readyz')).status).to.equal(200);
  });

  it('shows metrics and status', async () => {
    expect((await fetchAnswer('/metrics')).text).to.contain('test_gauge 3');
    const status = JSON.parse((await fetchAnswer('/status')).text) as unknown;
    expect(status).to.deep.equal({ revision: 9, ready: true, reasons: [], members: 1 });
  });

  it('explains in words and as data', async () => {
    const answer = await fetchAnswer('/explain?service=catalogue&client=10.3.0.1');
    const body = JSON.parse(answer.text) as { words: readonly string[]; selector: string };
    expect(body.selector).to.equal('tracks');
    expect(body.words).to.include('Client 10.3.0.1 is in region far.');
    expect(body.words).to.include('Objective headroom; 3 requests wait here for a slot.');
    expect(body.words).to.include(
      'Target near-1 is ruled out (no-slot): 2 in flight from here, 0 slots free for here, median 12 ms, no load report.',
    );
    expect(body.words.join(' ')).to.contain('track=steady takes 70%');
  });

  it('refuses what it does not serve', async () => {
    expect((await fetchAnswer('/explain?service=catalogue')).status).to.equal(400);
    expect((await fetchAnswer('/explain?service=x&client=10.1.0.1')).status).to.equal(404);
    expect((await fetchAnswer('/other')).status).to.equal(404);
    expect((await fetchAnswer('/status', 'POST')).status).to.equal(405);
  });
});
