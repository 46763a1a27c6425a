/**
 * One connection to a target.
 */
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
  provenAtMs = -Infinity;

  /** Whether the connection broke, so that an answer that ends with it is not whole. */
  isReset = false;

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
      this.recordProof();
    });
    this.client.on('disconnect', () => {
      this.isOpen = false;
      onClosed(this);
    });
  }

  /** Notes a broken socket before the client sees it, since the client may take the end of an answer for whole. */
  private watchSocket(done: buildConnector.Callback): buildConnector.Callback {
    return (...result) => {
      result[1]?.on('error', () => {
        this.isReset = true;
      });
      done(...result);
    };
  }

  /** Records that the target was heard on this connection just now. */
  recordProof(): void {
    this.provenAtMs = this.clock.getMonotonicMs();
  }

  /** Closes the connection at once; a request on it fails. */
  close(): void {
    this.client.destroy().catch(() => undefined);
  }
}
