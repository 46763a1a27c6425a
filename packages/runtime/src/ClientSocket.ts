/**
 * Socket of a connection that undici uses.
 */
import { Socket, type SocketConstructorOpts } from 'node:net';
import type { DuplexOptions } from 'node:stream';

/** Longest head of a response, with the interim responses before it. */
const MAX_HEAD_BYTES = 64 * 1024;
const READ_BUFFER_BYTES = 64 * 1024;

type SystemError = Partial<NodeJS.ErrnoException>;

/** Returns an error that undici does not take for the end of a response. */
function convertError(error: Error | undefined): Error {
  if (error === undefined) {
    return new Error('the connection was closed');
  }
  const isReset = (error as SystemError).code === 'ECONNRESET';
  return isReset ? new Error('the peer reset the connection', { cause: error }) : error;
}

/**
 * Ends in a way that undici can handle at any moment. undici takes the end of a socket that has no error, or a reset,
 * for the end of a response without a length. If the request was aborted before, or the response is paused, this fails
 * one of its assertions, which ends the process. So this socket is never destroyed without an error, and a reset does
 * not carry the code by which undici recognizes it.
 *
 * An orderly end by the peer fails an assertion as well if it is reported while the response is paused, which happens
 * where a pause falls on the last byte received. Such an end is reported once undici has read on and found no more.
 */
export default class ClientSocket extends Socket {
  /** Whether an error of the connection itself, such as a reset, ended it. */
  isBroken = false;

  /** Bytes read since the latest request, up to the head of its response. */
  private headBytes = 0;

  private isHeadExpected = false;

  /** Whether undici has paused the response; it returns the rest of a chunk, which may be empty, when it does. */
  private isPausedByReader = false;

  /**
   * What undici has returned. It is kept apart, since a read would otherwise copy it together with all that has come
   * after it, at each pause.
   */
  private returned: Buffer | null = null;

  /** Whether the peer has ended the connection in order, and undici has not been told. */
  private isEndHeld = false;

  constructor() {
    const options: SocketConstructorOpts & DuplexOptions = { highWaterMark: READ_BUFFER_BYTES };
    super(options);
  }

  override destroy(error?: Error): this {
    // Errors that are raised in this process, such as for an ended connection, have no system call.
    this.isBroken ||= (error as SystemError | undefined)?.syscall !== undefined;
    return super.destroy(convertError(error ?? undefined));
  }

  /** Limits the bytes that are read until `recordHead` is called. */
  expectHead(): void {
    this.headBytes = 0;
    this.isHeadExpected = true;
  }

  /** Records that the head of the final response has been read. */
  recordHead(): void {
    this.isHeadExpected = false;
  }

  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk === null && this.hasMore()) {
      this.isEndHeld = true;
      return false;
    }
    return super.push(chunk, encoding);
  }

  override unshift(chunk: Buffer): void {
    this.isPausedByReader = true;
    this.returned = chunk.length > 0 ? chunk : null;
  }

  /** Ends the connection if the head does not end: undici limits its fields, but no status line and no interim response. */
  override read(size?: number): Buffer | null {
    if (size !== 0) {
      // Node.js itself reads with size 0; undici reads only while the response is not paused.
      this.isPausedByReader = false;
    }
    if (this.isHeadExpected && this.headBytes > MAX_HEAD_BYTES) {
      this.destroy(new Error('the head of the response is too long'));
      return null;
    }
    const chunk = this.takeReturned(size) ?? (super.read(size) as Buffer | null);
    this.headBytes += chunk?.length ?? 0;
    if (chunk === null && this.isEndHeld && size !== 0) {
      process.nextTick(() => this.reportEnd());
    }
    return chunk;
  }

  /** Reports the end that was held, unless undici has paused again. */
  private reportEnd(): void {
    if (this.isEndHeld && !this.destroyed && !this.hasMore()) {
      this.isEndHeld = false;
      super.push(null);
    }
  }

  /** Whether undici has paused, or there are bytes that it has not read. */
  private hasMore(): boolean {
    return this.isPausedByReader || this.returned !== null || this.readableLength > 0;
  }

  /** Takes what undici has returned, unless Node.js itself reads. */
  private takeReturned(size: number | undefined): Buffer | null {
    const { returned } = this;
    if (size === 0) {
      return null;
    }
    this.returned = null;
    return returned;
  }
}
