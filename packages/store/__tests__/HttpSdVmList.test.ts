/**
 * The VM list adapter against its stand-in.
 */
import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import SystemClock from '@burdockcove/runtime/SystemClock';
import VmListServer from '@burdockcove/standins/vmList/VmListServer';
import VmListStandIn from '@burdockcove/standins/vmList/VmListStandIn';
import type Vm from '@burdockcove/types/Vm';
import HttpSdVmList from '../src/HttpSdVmList.js';

const VMS: readonly Vm[] = [
  {
    address: '127.0.1.1:80',
    peerAddress: '127.0.1.1:81',
    kind: 'entry',
    failureDomain: 'bdg-a',
    state: 'live',
  },
  { address: '127.0.2.1:80', kind: 'target', failureDomain: 'bdg-b', state: 'leaving' },
];

describe('HttpSdVmList', () => {
  it('reads the list, and returns an error if the list is unavailable', async () => {
    const clock = new SystemClock();
    const standIn = new VmListStandIn(clock);
    standIn.setVms(VMS);
    const server = new VmListServer(standIn);
    const list = new HttpSdVmList(clock, await server.start('127.0.0.1', 0));
    expect(await list.listVms()()).to.deep.equal(E.right(VMS));
    standIn.setDown(true);
    const failed = await list.listVms()();
    expect(E.isLeft(failed) && failed.left._tag).to.equal('StoreUnavailable');
    await list.close();
    await server.stop();
  });
});
