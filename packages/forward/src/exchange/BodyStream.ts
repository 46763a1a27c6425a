/**
 * Stream of a request body that is too large to be buffered.
 */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import ByteCollector from './ByteCollector.js';
import type ReadAheadBudget from './ReadAheadBudget.js';

/** Each body may have this many bytes read ahead, even if the budget is used up. */
const MIN_READ_AHEAD_BYTES = 16 * 1024;
const MAX_READ_AHEAD_BYTES = 4 * 1024 * 1024;
/** Bytes that are collected at most before they are passed on to a target that accepts them. */
const MAX_COLLECTED_BYTES = 16 * 1024;
/** Interval at which a caller whose body is not being read is checked. */
const PAUSED_CHECK_INTERVAL_MS = 100;

/** Notified while the body is sent to a target. */
interface BodyListener {
  /** A chunk was passed on. */
  onProgress(): void;
  /** The body exceeds its limit; the rest is not passed on. */
  onTooLarge(): void;
}

interface BodyStreamOptions {
  /** Largest body that is passed on, in bytes. */
  readonly maxBytes: number;
  readonly clock: Clock;
  readonly budget: ReadAheadBudget;
}

/**
 * Forwards a caller's body with backpressure. The end of a caller's connection is only reported while the connection is
 * being read, so the body is read ahead as far as the budget allows, also before a target is chosen. While reading is
 * paused, the caller is checked for a reset. Destroying the stream leaves the caller's connection open, so that a
 * response can still be sent.
 */
export default class BodyStream extends Readable {
  private listener: BodyListener | null = null;

  private readonly queue = new ByteCollector();

  private isPassingScheduled = false;

  private passedBytes = 0;

  /** Whether the target accepts more. */
  private isWanted = false;

  private readAtMs: number;

  private pausedTimer: Timer | null = null;

  constructor(
    private readonly source: IncomingMessage,
    prefix: Buffer,
    private readonly options: BodyStreamOptions,
  ) {
    super();
    this.readAtMs = options.clock.getMonotonicMs();
    // Errors after the end of the exchange are ignored.
    this.on('error', () => undefined);
    source.on('error', (error) => this.destroy(error));
    source.on('close', () => {
      if (!source.readableEnded) {
        this.destroy(new Error('the caller cut the body off'));
      }
    });
    source.on('end', () => {
      this.stopCheckingCaller();
      this.passOn();
    });
    source.on('data', (chunk: Buffer) => this.receive(chunk));
    this.receive(prefix);
    if (this.pausedTimer === null) {
      source.resume();
    }
  }

  /** Sets the only listener. */
  setListener(listener: BodyListener): void {
    this.listener = listener;
  }

  /** Whether the whole body was passed on. */
  isPassedOn(): boolean {
    return this.readableEnded;
  }

  /** Returns the time since the caller's body was last read, in milliseconds; undefined if it was read to its end. */
  getUnreadMs(): number | undefined {
    return this.source.readableEnded
      ? undefined
      : this.options.clock.getMonotonicMs() - this.readAtMs;
  }

  /** Reads and discards what the caller still sends, so that its next request on the connection can be read. */
  discardRest(): void {
    this.destroy();
    this.source.resume();
  }

  override _read(): void {
    this.isWanted = true;
    this.passOn();
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    this.options.budget.release(this.queue.length);
    this.queue.take();
    this.stopCheckingCaller();
    done(error);
  }

  private receive(chunk: Buffer): void {
    if (this.destroyed) {
      return;
    }
    this.readAtMs = this.options.clock.getMonotonicMs();
    this.queue.append(chunk);
    this.options.budget.add(chunk.length);
    if (this.queue.length >= MAX_COLLECTED_BYTES) {
      this.passOn();
    } else {
      this.schedulePassingOn();
      this.adjustReading();
    }
  }

  /** Passes on what is queued together with the chunks that have already been read. */
  private schedulePassingOn(): void {
    if (!this.isPassingScheduled) {
      this.isPassingScheduled = true;
      queueMicrotask(() => {
        this.isPassingScheduled = false;
        this.passOn();
      });
    }
  }

  /** Passes on what was read, as far as the target accepts it. */
  private passOn(): void {
    while (this.isWanted && !this.destroyed) {
      const chunk = this.queue.shift();
      if (chunk === undefined) {
        break;
      }
      this.options.budget.release(chunk.length);
      this.passOnChunk(chunk);
    }
    if (this.destroyed) {
      return;
    }
    if (!this.source.readableEnded) {
      this.adjustReading();
    } else if (this.queue.length === 0) {
      this.push(null);
    }
  }

  private passOnChunk(chunk: Buffer): void {
    this.passedBytes += chunk.length;
    if (this.passedBytes > this.options.maxBytes) {
      this.listener?.onTooLarge();
      this.destroy(new Error('the body exceeds its limit'));
      return;
    }
    this.listener?.onProgress();
    this.isWanted = this.push(chunk);
  }

  private adjustReading(): void {
    if (this.canReadAhead()) {
      this.stopCheckingCaller();
      this.source.resume();
    } else {
      this.source.pause();
      this.startCheckingCaller();
    }
  }

  private canReadAhead(): boolean {
    const { length: queuedBytes } = this.queue;
    return (
      queuedBytes < MIN_READ_AHEAD_BYTES ||
      (queuedBytes < MAX_READ_AHEAD_BYTES && this.options.budget.hasRoom())
    );
  }

  private startCheckingCaller(): void {
    this.pausedTimer ??= this.options.clock.startTimer(PAUSED_CHECK_INTERVAL_MS, () => {
      this.pausedTimer = null;
      this.checkForReset();
      this.adjustReading();
    });
  }

  private stopCheckingCaller(): void {
    this.pausedTimer?.cancel();
    this.pausedTimer = null;
  }

  /** Writes no bytes: that fails on a connection that the caller has reset, and the connection is then closed. */
  private checkForReset(): void {
    const { socket } = this.source;
    if (!socket.destroyed && socket.writableLength === 0) {
      socket.write('');
    }
  }
}
