/**
 * Stream of a request body that is too large to be buffered.
 */
import { Transform, type Readable, type TransformCallback } from 'node:stream';

/**
 * Forwards a caller's body with backpressure. Destroying the stream leaves the caller's connection open, so that
 * a response can still be sent.
 */
export default class BodyStream extends Transform {
  private onProgress: () => void = () => undefined;

  constructor(source: Readable, prefix: Buffer) {
    super();
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

  /** Sets the listener that is called for each chunk. */
  setProgressListener(listener: () => void): void {
    this.onProgress = listener;
  }

  override _transform(chunk: Buffer, _encoding: BufferEncoding, done: TransformCallback): void {
    this.onProgress();
    done(null, chunk);
  }
}
