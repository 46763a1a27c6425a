/**
 * Connections to other entry VMs: one HTTP/2 session a peer, pinged so that a silent one is noticed.
 */
import { createConnectTransport, type Http2SessionManager } from '@connectrpc/connect-node';
import type { Transport } from '@connectrpc/connect';
import type PeerTransports from '@burdockcove/protocol/PeerTransports';
import CheckedSessions from './CheckedSessions.js';

const PING_INTERVAL_MS = 5_000;
const PING_TIMEOUT_MS = 2_000;
const IDLE_CONNECTION_MS = 30_000;
const CALL_TIMEOUT_MS = 2_000;
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Peers remembered at once; the one used longest ago is dropped. */
const MAX_PEERS = 256;

interface PeerConnection {
  readonly transport: Transport;
  readonly sessions: Http2SessionManager;
}

/** Sessions open on first use and close when idle. Streaming calls set their own timeout. */
export default class PeerClients implements PeerTransports {
  private readonly connections = new Map<string, PeerConnection>();

  getTransport(peerAddress: string): Transport {
    const connection = this.connections.get(peerAddress) ?? this.openConnection(peerAddress);
    this.connections.delete(peerAddress);
    this.connections.set(peerAddress, connection);
    return connection.transport;
  }

  /** Ends every session. */
  close(): void {
    this.connections.forEach(({ sessions }) => sessions.abort());
    this.connections.clear();
  }

  private openConnection(peerAddress: string): PeerConnection {
    const baseUrl = `http://${peerAddress}`;
    const sessions = new CheckedSessions(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
      idleConnectionTimeoutMs: IDLE_CONNECTION_MS,
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: sessions,
      defaultTimeoutMs: CALL_TIMEOUT_MS,
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    this.dropOldest();
    return { transport, sessions };
  }

  private dropOldest(): void {
    const [oldest] = this.connections;
    if (oldest !== undefined && this.connections.size >= MAX_PEERS) {
      this.connections.delete(oldest[0]);
    }
  }
}
