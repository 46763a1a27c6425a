/**
 * Writes a target's response to the caller.
 *
 * The pieces of one read from the target are written together, since each write costs several objects, however few its
 * bytes are.
 */
import type { ServerResponse } from 'node:http';
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import ByteCollector from './ByteCollector.js';
import type CallerPipeline from './CallerPipeline.js';
import type Framing from './Framing.js';

/** Responses up to this size are buffered and sent once they are complete; larger ones if others wait behind them. */
const MAX_BUFFERED_BYTES = 64 * 1024;
/** Memory reserved for a large response whose length is not known, in bytes. */
const MAX_UNKNOWN_BYTES = 512 * 1024;
/** Buffered responses up to this size are sent in one write with their head. */
const MAX_SINGLE_WRITE_BYTES = 16 * 1024;

/** Longest time for which a response in chunks is buffered, since it may be a stream that is to arrive while it runs. */
const MAX_HOLD_MS = 100;

/** Bytes that are collected at most before they are written, once the head is sent. */
const MAX_COLLECTED_BYTES = 16 * 1024;

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The head of a response; `headers` are flat name and value pairs for the caller. */
interface ResponseHead {
  readonly status: number;
  readonly statusMessage: string;
  readonly headers: readonly string[];
  readonly framing: Framing;
  /** Length of the body in bytes, -1 if the head does not give it. */
  readonly expectedBytes: number;
}

/** Notified while a response is written. */
interface WriterListener {
  /** Called before the first byte is written. */
  onResponding(): void;
  /** The caller reads too slowly; what comes until the target is paused is written all the same. */
  onBlocked(): void;
}

/** Buffers small responses until they are complete, so that a failed one can be replaced; streams larger ones. */
export default class ResponseWriter {
  private head: ResponseHead | null = null;

  private readonly collected = new ByteCollector();

  private isBuffering = true;

  private isWriteScheduled = false;

  private isClosed = false;

  private holdTimer: Timer | null = null;

  /** Memory that was reserved to buffer more than usual, in bytes. */
  private reservedBytes = 0;

  constructor(
    private readonly response: ServerResponse,
    private readonly clock: Clock,
    private readonly pipeline: CallerPipeline,
    private readonly listener: WriterListener,
  ) {}

  /** Whether any part of the response has been sent to the caller. */
  isHeadSent(): boolean {
    return this.head !== null && !this.isBuffering;
  }

  /** Records the head and sends it at once if the response is not buffered, or after a while if it may be a stream. */
  start(head: ResponseHead): void {
    this.head = head;
    if (!this.mayBuffer(head.expectedBytes)) {
      this.sendHead();
    } else if (head.framing === 'chunked') {
      this.holdTimer = this.clock.startTimer(
        MAX_HOLD_MS,
        () => this.isBuffering && this.sendHead(),
      );
    }
  }

  /** Writes nothing more of what is buffered. */
  close(): void {
    this.isClosed = true;
    this.holdTimer?.cancel();
    this.releaseReserved();
  }

  /** Writes a piece of the body, together with others that follow it at once. */
  write(piece: Buffer): void {
    this.collected.append(piece);
    if (this.isBuffering) {
      if (!this.mayBuffer(this.collected.length)) {
        this.sendHead();
      }
    } else if (this.collected.length >= MAX_COLLECTED_BYTES) {
      this.writeCollected();
    } else {
      this.scheduleWrite();
    }
  }

  /** Completes the response. */
  finish(): void {
    const { head, collected, response } = this;
    const rest = collected.takeJoined();
    this.pipeline.recordWhole(response);
    this.releaseOnceSent();
    if (this.isBuffering && head !== null) {
      this.isBuffering = false;
      this.listener.onResponding();
      const headers = this.listFramedHeaders(head, rest.length);
      response.writeHead(head.status, head.statusMessage, headers);
    }
    if (rest.length === 0) {
      response.end();
    } else if (rest.length <= MAX_SINGLE_WRITE_BYTES) {
      response.end(rest.toString('latin1'), 'latin1');
    } else {
      response.end(rest);
    }
  }

  /** Whether a response of so many bytes may be buffered; reserves the memory for it if it is a large one. */
  private mayBuffer(bytes: number): boolean {
    if (bytes <= Math.max(MAX_BUFFERED_BYTES, this.reservedBytes)) {
      return true;
    }
    const expectedBytes = this.head?.expectedBytes ?? -1;
    const wanted = expectedBytes > 0 ? expectedBytes : MAX_UNKNOWN_BYTES;
    const isReserved = this.reservedBytes === 0 && this.pipeline.reserve(this.response, wanted);
    this.reservedBytes = isReserved ? wanted : this.reservedBytes;
    return isReserved;
  }

  private releaseReserved(): void {
    this.pipeline.release(this.reservedBytes);
    this.reservedBytes = 0;
  }

  /** What is handed over to the connection takes memory until the caller has read it. */
  private releaseOnceSent(): void {
    const { reservedBytes, response, pipeline } = this;
    if (reservedBytes > 0) {
      this.reservedBytes = 0;
      response.once('close', () => pipeline.release(reservedBytes));
    }
  }

  /** Sends the head and what is buffered. */
  private sendHead(): void {
    const { head, response } = this;
    this.isBuffering = false;
    this.releaseReserved();
    if (head !== null) {
      this.pipeline.recordPart(response);
      this.listener.onResponding();
      response.writeHead(head.status, head.statusMessage, [...head.headers]);
      this.writeCollected();
    }
  }

  /** Writes what is collected after the pieces that have already been read. */
  private scheduleWrite(): void {
    if (!this.isWriteScheduled) {
      this.isWriteScheduled = true;
      queueMicrotask(() => {
        this.isWriteScheduled = false;
        this.writeCollected();
      });
    }
  }

  private writeCollected(): void {
    if (this.isClosed) {
      return;
    }
    const piece = this.collected.takeJoined();
    if (piece.length > 0 && !this.response.write(piece)) {
      this.listener.onBlocked();
    }
  }

  /** Adds the length to a response that was delimited by its connection's end, since it is known by now. */
  private listFramedHeaders({ framing, status, headers }: ResponseHead, bytes: number): string[] {
    const needsLength = framing === 'connection-end' && !NO_BODY_STATUSES.has(status);
    return needsLength ? [...headers, 'Content-Length', String(bytes)] : [...headers];
  }
}
