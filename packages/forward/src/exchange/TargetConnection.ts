/**
 * One connection to a target.
 */
import { Client, type buildConnector } from 'undici';
import BoundedMap from '@burdockcove/runtime/BoundedMap';
import type ClientSocket from '@burdockcove/runtime/ClientSocket';
import type Clock from '@burdockcove/runtime/Clock';
import connectClient from '@burdockcove/runtime/connectClient';
import waitForPendingEvents from '@burdockcove/runtime/waitForPendingEvents';
import limitKey from '../limitKey.js';
import MAX_CALLER_STATE_AGE_MS from './MAX_CALLER_STATE_AGE_MS.js';

const CONNECT_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 4000;
/** Upper limit on the keep-alive time that a target announces. */
const MAX_IDLE_TIMEOUT_MS = 15_000;
/** Idle connections are closed this long before the keep-alive time that the target announced. */
const KEEP_ALIVE_MARGIN_MS = 2000;
const MAX_RESPONSE_HEADER_BYTES = 64 * 1024;
/** A refused request is attempted again within a fraction of a second. */
const MAX_REFUSED_IDS = 64;

/**
 * Delays the start of the first request if opening took long, so that the request is cancelled if its caller left
 * meanwhile: the client writes it as soon as it is told of the connection.
 */
function delayIfLate(clock: Clock, done: buildConnector.Callback): buildConnector.Callback {
  const startedAtMs = clock.getMonotonicMs();
  return (...[error, socket]) => {
    if (error !== null) {
      done(error, null);
      return;
    }
    if (clock.getMonotonicMs() - startedAtMs < MAX_CALLER_STATE_AGE_MS) {
      done(null, socket);
      return;
    }
    const start = (): void => {
      if (socket.destroyed) {
        // Its end has been reported before the client listens for it.
        done(new Error('the target closed the connection at once'), null);
      } else {
        done(null, socket);
      }
    };
    waitForPendingEvents().then(start, (cause: Error) => done(cause, null));
  };
}

/** Wraps an undici client with one connection, to the address of `origin`, and at most one request at a time. */
export default class TargetConnection {
  readonly client: Client;

  /** Monotonic time in milliseconds of the last sign of life from the target; -Infinity before the connection opens. */
  confirmedAtMs = -Infinity;

  private socket: ClientSocket | null = null;

  private isCloseExpected = false;

  private closeProbe: Promise<boolean> = Promise.resolve(true);

  /** Ids of requests that were refused on this connection, or hashes of long ones. */
  private readonly refusedIds = new BoundedMap<string, true>(MAX_REFUSED_IDS);

  /** Whether the connection is open. */
  isOpen = false;

  constructor(
    origin: URL,
    private readonly clock: Clock,
    onClosed: (connection: TargetConnection) => void,
  ) {
    this.client = new Client(origin, {
      pipelining: 1,
      connect: (options, done) =>
        connectClient(options, CONNECT_TIMEOUT_MS, this.watchSocket(delayIfLate(clock, done))),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('connect', () => {
      this.isOpen = true;
      this.recordConfirmed();
    });
    this.client.on('disconnect', () => {
      this.isOpen = false;
      onClosed(this);
    });
  }

  /** Records that the target refused a request on this connection. */
  recordRefused(requestId: string): void {
    this.refusedIds.set(limitKey(requestId), true);
  }

  /**
   * Whether the request may be sent on this connection. If it was refused here before, a copy of that refusal, which a
   * faulty target may still write, could not be told from the response to the new attempt.
   */
  mayCarry(requestId: string): boolean {
    return this.refusedIds.get(limitKey(requestId)) === undefined;
  }

  /** Prepares for a response: its head is limited in bytes. */
  expectHead(): void {
    this.socket?.expectHead();
  }

  /** Records that the head of the final response has been read. */
  recordHead(): void {
    this.socket?.recordHead();
  }

  /** Prepares for a response whose body is delimited by the end of the connection. */
  expectClose(): void {
    this.isCloseExpected = true;
  }

  /** Whether the connection was closed in order and not reset; to be called after its end. */
  async wasClosedCleanly(): Promise<boolean> {
    return (await this.closeProbe) && this.socket?.isBroken === false;
  }

  /** Listens on the socket itself, because some resets look like an orderly end to the client. */
  private watchSocket(done: buildConnector.Callback): buildConnector.Callback {
    return (...result) => {
      const socket = result[1] as ClientSocket | null;
      this.socket = socket;
      socket?.on('end', () => {
        if (this.isCloseExpected) {
          this.probeClose(socket);
        }
      });
      done(...result);
    };
  }

  /**
   * Detects a reset that looks like an orderly end to the reader: only a write fails then. Targets ignore the empty
   * line that is written (RFC 9112, section 2.2).
   */
  private probeClose(socket: ClientSocket): void {
    this.closeProbe = new Promise((resolve) => {
      socket.write('\r\n', (error) => resolve(error === null || error === undefined));
    });
  }

  /** Records that the target was heard on this connection now. */
  recordConfirmed(): void {
    this.confirmedAtMs = this.clock.getMonotonicMs();
  }

  /**
   * Aborts the request on the connection. A reset discards the bytes that the target has not received yet; after
   * an orderly close they would still be delivered once an unreachable target is reachable again.
   */
  reset(): void {
    if (this.socket !== null && !this.socket.destroyed) {
      this.socket.resetAndDestroy();
    }
  }

  /** Closes the connection at once; a request in flight on it fails. */
  close(): void {
    this.client.destroy().catch(() => undefined);
  }
}
