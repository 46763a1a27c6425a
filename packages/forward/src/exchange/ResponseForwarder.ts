/**
 * Forwards a target's response to the caller, at the caller's pace.
 */
import type { ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import type Clock from '@burdockcove/runtime/Clock';
import type CallerPipeline from './CallerPipeline.js';
import ResponseWriter from './ResponseWriter.js';
import addTrailers from './addTrailers.js';
import buildReasonPhrase from './buildReasonPhrase.js';
import buildResponseHeaders from './buildResponseHeaders.js';
import detectFraming from './detectFraming.js';

/**
 * A response yields to other work after so many pieces of its body, which may all come with one read from the target:
 * each costs the same, however few its bytes are.
 */
const MAX_PIECES_PER_TURN = 1024;

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Notified while the response is forwarded. */
interface ForwardListener {
  /** Called before the first byte is written. */
  onResponding(): void;
  /** The caller has read what was written, and the response goes on. */
  onDrained(): void;
}

/** Pauses the target while the caller reads too slowly, and while other work has its turn. */
export default class ResponseForwarder {
  private readonly writer: ResponseWriter;

  private isPausedForDrain = false;

  private isPassingTurn = false;

  private pieces = 0;

  private controller: Dispatcher.DispatchController | null = null;

  constructor(
    private readonly response: ServerResponse,
    clock: Clock,
    pipeline: CallerPipeline,
    private readonly listener: ForwardListener,
  ) {
    this.writer = new ResponseWriter(response, clock, pipeline, {
      onResponding: () => listener.onResponding(),
      onBlocked: () => this.pauseUntilDrained(),
    });
  }

  /** Whether any part of the response has been sent to the caller. */
  isHeadSent(): boolean {
    return this.writer.isHeadSent();
  }

  /** Whether the response is paused until the caller reads. */
  isPaused(): boolean {
    return this.isPausedForDrain;
  }

  /** Starts with the head; returns false if the body is delimited by the end of the connection. */
  start(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Headers,
    statusMessage: string | undefined,
  ): boolean {
    this.controller = controller;
    const raw = controller.rawHeaders as (Buffer | string)[];
    const framing = detectFraming(headers);
    this.writer.start({
      status,
      statusMessage: buildReasonPhrase(statusMessage),
      headers: buildResponseHeaders(raw, headers.connection as string | undefined),
      framing,
      expectedBytes: Number(headers['content-length'] ?? -1),
    });
    return framing !== 'connection-end';
  }

  write(piece: Buffer): void {
    this.pieces += 1;
    if (this.pieces % MAX_PIECES_PER_TURN === 0) {
      this.passTurn();
    }
    this.writer.write(piece);
  }

  /** Adds the trailers of the target's response, if any. */
  addTrailers(controller: Dispatcher.DispatchController): void {
    const trailers = controller.rawTrailers as Buffer[] | null | undefined;
    if (trailers?.length) {
      addTrailers(this.response, trailers);
    }
  }

  /** Completes the response. */
  finish(): void {
    this.writer.finish();
  }

  /** Writes nothing more of what is buffered. */
  close(): void {
    this.writer.close();
  }

  private pauseUntilDrained(): void {
    this.controller?.pause();
    if (!this.isPausedForDrain) {
      this.isPausedForDrain = true;
      this.response.once('drain', () => {
        this.isPausedForDrain = false;
        this.listener.onDrained();
        this.resume();
      });
    }
  }

  /** Pauses until the event loop has looked for other work. */
  private passTurn(): void {
    this.controller?.pause();
    if (!this.isPassingTurn) {
      this.isPassingTurn = true;
      setImmediate(() => {
        this.isPassingTurn = false;
        this.resume();
      });
    }
  }

  private resume(): void {
    if (!this.isPausedForDrain && !this.isPassingTurn) {
      this.controller?.resume();
    }
  }
}
