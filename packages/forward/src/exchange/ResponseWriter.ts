/**
 * The way of a target's answer to the caller.
 */
import type { ServerResponse } from 'node:http';
import type Framing from './Framing.js';

/** Answers up to this size go to the caller only once they are whole. */
const MAX_HELD_BYTES = 64 * 1024;
/** Held answers up to this size go out in one write with their head. */
const MAX_JOINED_BYTES = 16 * 1024;

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The head of an answer; `headers` are flat name and value pairs for the caller. */
interface AnswerHead {
  readonly status: number;
  readonly statusMessage: string;
  readonly headers: readonly string[];
  readonly framing: Framing;
  /** Bytes of the body, -1 where the head does not tell. */
  readonly expectedBytes: number;
}

/** Holds small answers back until they are whole, so that a broken one can be replaced; streams others. */
export default class ResponseWriter {
  private head: AnswerHead | null = null;

  private held: Buffer[] = [];

  private heldBytes = 0;

  private isHolding = true;

  constructor(private readonly response: ServerResponse) {}

  /** Whether a part of the answer has gone to the caller. */
  isHeadSent(): boolean {
    return this.head !== null && !this.isHolding;
  }

  /** Takes the head; the body follows. */
  start(head: AnswerHead): void {
    this.head = head;
    const isLong = head.expectedBytes > MAX_HELD_BYTES;
    if (isLong || head.framing === 'chunked') {
      this.sendHead();
    }
  }

  /** Takes a part of the body; false where the caller does not keep up. */
  write(chunk: Buffer): boolean {
    if (!this.isHolding) {
      return this.response.write(chunk);
    }
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    return this.heldBytes <= MAX_HELD_BYTES || this.sendHead();
  }

  /** Ends an answer that is whole. */
  finish(): void {
    const { head, held, response } = this;
    if (!this.isHolding || head === null) {
      response.end();
      return;
    }
    this.isHolding = false;
    const body = Buffer.concat(held);
    response.writeHead(head.status, head.statusMessage, this.listFramedHeaders(head, body.length));
    if (body.length === 0) {
      response.end();
    } else if (body.length <= MAX_JOINED_BYTES) {
      response.end(body.toString('latin1'), 'latin1');
    } else {
      response.end(body);
    }
  }

  /** Sends the head and what is held; false where the caller does not keep up. */
  private sendHead(): boolean {
    const { head, response } = this;
    this.isHolding = false;
    if (head === null) {
      return true;
    }
    response.writeHead(head.status, head.statusMessage, [...head.headers]);
    const { held } = this;
    this.held = [];
    return held.every((chunk) => response.write(chunk));
  }

  /** An answer that ended with its connection gets its length, since it is known by now. */
  private listFramedHeaders({ framing, status, headers }: AnswerHead, bytes: number): string[] {
    const needsLength = framing === 'connection-end' && !NO_BODY_STATUSES.has(status);
    return needsLength ? [...headers, 'Content-Length', String(bytes)] : [...headers];
  }
}
