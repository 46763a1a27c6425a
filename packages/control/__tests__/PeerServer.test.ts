/**
 * Two processes over real sockets: streams, exchanges, versions and unknown fields.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { expect } from 'chai';
import { Registry } from 'prom-client';
import {
  MemberRecordSchema,
  StateService,
} from '@burdockcove/protocol/gen/burdockcove/v1/distribution_pb';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import SystemClock from '@burdockcove/runtime/SystemClock';
import StoreStandIn from '@burdockcove/standins/store/StoreStandIn';
import VmListStandIn from '@burdockcove/standins/vmList/VmListStandIn';
import ControlPlane from '../src/ControlPlane.js';
import encodeMember from '../src/membership/encodeMember.js';
import parseMember from '../src/membership/parseMember.js';
import PeerClients from '../src/peer/PeerClients.js';
import PeerServer from '../src/peer/PeerServer.js';

const clock = new SystemClock();
const logger = new Logger('silent', 'json');

describe('PeerServer', () => {
  let plane: ControlPlane;
  let server: PeerServer;
  let clients: PeerClients;
  let abort: AbortController;
  let done: Promise<void>;
  let peer: string;

  beforeEach(async () => {
    clients = new PeerClients();
    abort = new AbortController();
    plane = new ControlPlane({
      clock,
      random: new Random(1),
      logger,
      registry: new Registry(),
      self: {
        address: '127.0.8.1:80',
        peerAddress: '127.0.8.1:81',
        region: 'near',
        failureDomain: 'near-a',
      },
      store: new StoreStandIn(clock),
      vmList: new VmListStandIn(clock),
      vmListPollMs: 1_000,
      transports: clients,
    });
    server = new PeerServer('127.0.8.1', 0, [plane.registerRoutes], logger);
    done = server.run(abort.signal);
    while (server.getPort() === 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    peer = `127.0.8.1:${server.getPort()}`;
  });

  afterEach(async () => {
    clients.close();
    abort.abort();
    await done;
  });

  it('streams the state and each change of it', async () => {
    plane.replica.table.mergeEntry({ key: 'state/a', value: '1', revision: 3 });
    const client = createClient(StateService, clients.getTransport(peer));
    const ended = new AbortController();
    const request = { version: { major: 1 }, afterRevision: 0n };
    const seen: string[] = [];
    try {
      for await (const { delta } of client.follow(request, {
        signal: ended.signal,
        timeoutMs: 0,
      })) {
        delta?.entries.forEach(({ key, revision }) => seen.push(`${key}@${revision}`));
        if (seen.length === 1) {
          plane.replica.table.mergeEntry({ key: 'state/b', value: '2', revision: 4 });
        } else {
          ended.abort();
        }
      }
    } catch (error) {
      expect(ConnectError.from(error).code).to.equal(Code.Canceled);
    }
    expect(seen).to.deep.equal(['state/a@3', 'state/b@4']);
  });

  it('refuses an unknown major version', async () => {
    const client = createClient(StateService, clients.getTransport(peer));
    const refused = await client
      .exchange({ version: { major: 2 } })
      .catch((error: unknown) => error);
    expect(ConnectError.from(refused).code).to.equal(Code.FailedPrecondition);
    const absent = await client.exchange({}).catch((error: unknown) => error);
    expect(ConnectError.from(absent).code).to.equal(Code.FailedPrecondition);
  });

  it('tells on the fields of a newer version', () => {
    const record = { address: 'a:1', peerAddress: 'a:2', incarnation: 4n };
    const known = toBinary(MemberRecordSchema, create(MemberRecordSchema, record));
    // Field 99, a varint of value 7.
    const newer = new Uint8Array([...known, 0x98, 0x06, 0x07]);
    const parsed = parseMember(fromBinary(MemberRecordSchema, newer));
    const sent =
      parsed && toBinary(MemberRecordSchema, encodeMember({ ...parsed, health: 'suspect' }));
    expect([...(sent ?? [])].join()).to.contain([0x98, 0x06, 0x07].join());
  });

  it('reports a peer that refuses connections as unavailable', async () => {
    const client = createClient(StateService, clients.getTransport('127.0.8.1:1'));
    const failed = await client
      .exchange({ version: { major: 1 } })
      .catch((error: unknown) => error);
    expect(ConnectError.from(failed).code).to.equal(Code.Unavailable);
  });
});
