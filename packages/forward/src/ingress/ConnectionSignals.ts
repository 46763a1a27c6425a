/**
 * Signals for callers' connections.
 */
import type { Socket } from 'node:net';

/** Keeps one signal a connection for as long as the connection lives. */
export default class ConnectionSignals {
  private readonly signals = new WeakMap<Socket, AbortSignal>();

  /** Aborted when the connection closes. */
  getSignal(socket: Socket): AbortSignal {
    return this.signals.get(socket) ?? this.addSignal(socket);
  }

  private addSignal(socket: Socket): AbortSignal {
    const abort = new AbortController();
    socket.once('close', () => abort.abort());
    this.signals.set(socket, abort.signal);
    return abort.signal;
  }
}
