/**
 * Abort signals of callers' connections.
 */
import type { Socket } from 'node:net';

/** Keeps one signal for each open connection. */
export default class ConnectionSignals {
  private readonly signals = new WeakMap<Socket, AbortSignal>();

  /** Returns the signal that is aborted when the caller ends the connection or it closes. */
  getSignal(socket: Socket): AbortSignal {
    return this.signals.get(socket) ?? this.addSignal(socket);
  }

  private addSignal(socket: Socket): AbortSignal {
    const abort = new AbortController();
    // The server closes a connection whose caller ended it, but only after the responses in progress.
    socket.once('end', () => abort.abort());
    socket.once('close', () => abort.abort());
    this.signals.set(socket, abort.signal);
    return abort.signal;
  }
}
