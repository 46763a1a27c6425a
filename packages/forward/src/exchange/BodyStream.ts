/**
 * A request body that is too large to be held whole.
 */
import { Transform, type Readable, type TransformCallback } from 'node:stream';

/**
 * Passes a caller's body on with backpressure. Destroying it leaves the caller's connection open, so that the
 * caller can still be answered.
 */
export default class BodyStream extends Transform {
  private onProgress: () => void = () => undefined;

  constructor(source: Readable, prefix: Buffer) {
    super();
    // An error that comes after the exchange has ended concerns nobody.
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

  /** Calls the listener with each chunk that passes. */
  setProgressListener(listener: () => void): void {
    this.onProgress = listener;
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    this.onProgress();
    done(null, chunk);
  }
}
