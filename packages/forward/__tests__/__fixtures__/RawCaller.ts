/**
 * Caller that writes raw bytes, for requests that are sent in parts or not read to their end.
 */
import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import pause from './pause.js';

const CHUNK = Buffer.alloc(16 * 1024, 'x');
const POLL_INTERVAL_MS = 10;
const MAX_POLLS = 300;

/** Sends parts of a request and collects what it receives. */
export default class RawCaller {
  received = '';

  isClosed = false;

  private readonly socket: Socket;

  constructor(address: string) {
    const [host = '', port] = address.split(':');
    this.socket = connect({ host, port: Number(port) });
    this.socket.on('data', (chunk) => {
      this.received += chunk.toString('latin1');
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
    });
  }

  write(text: string | Buffer): void {
    this.socket.write(text);
  }

  /** Writes up to the number of bytes as fast as they are accepted; returns how many were written. */
  async writeBody(bytes: number, stallMs: number): Promise<number> {
    let written = 0;
    while (written < bytes && !this.isClosed) {
      const accepted = this.socket.write(
        CHUNK.subarray(0, Math.min(CHUNK.length, bytes - written)),
      );
      written += CHUNK.length;
      if (!accepted && !(await this.waitForDrain(stallMs))) {
        return written;
      }
    }
    return written;
  }

  async waitFor(pattern: RegExp): Promise<void> {
    for (let polls = 0; polls < MAX_POLLS && !pattern.test(this.received); polls += 1) {
      await pause(POLL_INTERVAL_MS);
    }
    expect(this.received).to.match(pattern);
  }

  /** Stops reading what is received. */
  stopReading(): void {
    this.socket.pause();
  }

  /** Leaves with bytes still unsent, which are discarded. */
  leave(how: 'end' | 'reset'): void {
    if (how === 'reset') {
      this.socket.resetAndDestroy();
    } else {
      this.socket.destroy();
    }
  }

  close(): void {
    this.socket.destroy();
  }

  private waitForDrain(stallMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), stallMs);
      this.socket.once('drain', () => {
        clearTimeout(timer);
        resolve(true);
      });
    });
  }
}
