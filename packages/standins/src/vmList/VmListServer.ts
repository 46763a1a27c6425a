/**
 * The VM list stand-in in the Prometheus HTTP service discovery format, on a loopback port.
 */
import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type Vm from '@burdockcove/types/Vm';
import type VmListStandIn from './VmListStandIn.js';

function encodeVm(vm: Vm): unknown {
  return {
    targets: [vm.address],
    labels: {
      kind: vm.kind,
      failure_domain: vm.failureDomain,
      state: vm.state,
      ...(vm.peerAddress === undefined ? {} : { peer_address: vm.peerAddress }),
    },
  };
}

/** Breaks connections while the stand-in is down. */
export default class VmListServer {
  private server: Server | undefined;

  constructor(private readonly list: VmListStandIn) {}

  /** Starts to listen; port zero takes a free one. Returns the list's URL. */
  async start(ip: string, port: number): Promise<string> {
    this.server = createServer((_request, response) => this.answer(response));
    this.server.listen(port, ip);
    await once(this.server, 'listening');
    const address = this.server.address() as AddressInfo;
    return `http://${address.address}:${address.port}/vms`;
  }

  async stop(): Promise<void> {
    this.server?.close();
    this.server?.closeAllConnections();
    if (this.server?.listening) {
      await once(this.server, 'close');
    }
  }

  private answer(response: ServerResponse): void {
    if (this.list.isDown()) {
      response.destroy();
      return;
    }
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify(this.list.getShownVms().map(encodeVm)));
  }
}
