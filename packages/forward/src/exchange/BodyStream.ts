/**
 * Stream of a request body that is too large to be buffered.
 */
import { Transform, type Readable, type TransformCallback } from 'node:stream';
import type Clock from '@burdockcove/runtime/Clock';

/** Notified while the body is sent to a target. */
interface BodyListener {
  /** A chunk was passed on. */
  onProgress(): void;
  /** The body exceeds its limit; the rest is not passed on. */
  onTooLarge(): void;
}

/**
 * Forwards a caller's body with backpressure. Destroying the stream leaves the caller's connection open, so that
 * a response can still be sent.
 */
export default class BodyStream extends Transform {
  private listener: BodyListener | null = null;

  private bytes = 0;

  private readAtMs: number;

  constructor(
    private readonly source: Readable,
    prefix: Buffer,
    private readonly maxBytes: number,
    private readonly clock: Clock,
  ) {
    super();
    this.readAtMs = clock.getMonotonicMs();
    // Errors after the end of the exchange are ignored.
    this.on('error', () => undefined);
    this.write(prefix);
    source.on('error', (error) => this.destroy(error));
    source.on('close', () => {
      if (!source.readableEnded) {
        this.destroy(new Error('the caller cut the body off'));
      }
    });
    source.pipe(this);
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
    return this.source.readableEnded ? undefined : this.clock.getMonotonicMs() - this.readAtMs;
  }

  /** Reads and discards what the caller still sends, so that its next request on the connection can be read. */
  discardRest(): void {
    this.source.unpipe(this);
    this.source.resume();
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    this.readAtMs = this.clock.getMonotonicMs();
    this.bytes += chunk.length;
    if (this.bytes > this.maxBytes) {
      this.listener?.onTooLarge();
      done(new Error('the body exceeds its limit'));
      return;
    }
    this.listener?.onProgress();
    done(null, chunk);
  }
}
