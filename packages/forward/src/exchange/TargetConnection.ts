/**
 * One connection to a target.
 */
import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import type Clock from '@burdockcove/runtime/Clock';

const CONNECT_TIMEOUT_MS = 1000;
const connectSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
const IDLE_TIMEOUT_MS = 4000;
/** The longest idle time a target may ask for. */
const MAX_IDLE_TIMEOUT_MS = 15_000;
/** A target may close an idle connection this long before the time it named. */
const IDLE_THRESHOLD_MS = 2000;
const MAX_ANSWER_HEADER_BYTES = 64 * 1024;

/** Wraps a client that has one connection and one request on it at a time. */
export default class TargetConnection {
  readonly client: Client;

  /** Monotonic time at which the target last proved the connection alive; -Infinity before it was open. */
  confirmedAtMs = -Infinity;

  private isReset = false;

  private socket: Socket | null = null;

  private isCloseExpected = false;

  private closeProbe: Promise<boolean> = Promise.resolve(true);

  /** Whether the connection is open. */
  isOpen = false;

  constructor(
    readonly address: string,
    private readonly clock: Clock,
    onClosed: (connection: TargetConnection) => void,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, done) => connectSocket(options, this.watchSocket(done)),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_THRESHOLD_MS,
      maxHeaderSize: MAX_ANSWER_HEADER_BYTES,
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

  /** Expects an answer whose body ends with the connection. */
  expectClose(): void {
    this.isCloseExpected = true;
  }

  /** Whether the connection was closed in order, as opposed to reset; asked after its end. */
  async wasClosedCleanly(): Promise<boolean> {
    return (await this.closeProbe) && !this.isReset;
  }

  /** Watches the socket ahead of the client, which takes the end of an answer for whole in either case. */
  private watchSocket(done: buildConnector.Callback): buildConnector.Callback {
    return (...result) => {
      const [, socket] = result;
      this.socket = socket;
      socket?.on('error', (error: NodeJS.ErrnoException) => {
        // The client's own errors, such as that of an ended connection, name no system call.
        this.isReset ||= error.syscall !== undefined;
      });
      socket?.on('end', () => {
        if (this.isCloseExpected) {
          this.probeClose(socket);
        }
      });
      done(...result);
    };
  }

  /**
   * A reset can look like an orderly end to the reader; only a write fails. An empty line before a request line is
   * ignored (RFC 9112, section 2.2).
   */
  private probeClose(socket: Socket): void {
    this.closeProbe = new Promise((resolve) => {
      socket.write('\r\n', (error) => resolve(error === null || error === undefined));
    });
  }

  /** Records that the target was heard on this connection just now. */
  recordConfirmed(): void {
    this.confirmedAtMs = this.clock.getMonotonicMs();
  }

  /**
   * Gives up the request on the connection. The reset discards bytes that the target has not taken yet; after an
   * orderly close they would still be delivered once a target that was cut off comes back.
   */
  reset(): void {
    if (this.socket !== null && !this.socket.destroyed) {
      this.socket.resetAndDestroy();
    }
  }

  /** Closes the connection at once; a request on it fails. */
  close(): void {
    this.client.destroy().catch(() => undefined);
  }
}
