/**
 * Connections to other entry VMs.
 */
import type { Transport } from '@connectrpc/connect';

/** One transport a peer, shared by all services. */
interface PeerTransports {
  /** The transport to the peer at `IP:PORT` of its peer port; opens no connection by itself. */
  getTransport(peerAddress: string): Transport;
}

export default PeerTransports;
