/**
 * A response with an invalid head, as bytes.
 */
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

/** Long enough for the parts to arrive one by one. */
const PART_INTERVAL_MS = 5;

/** Written in parts, after which the connection is ended or left open. */
export default class InvalidResponse {
  constructor(
    readonly name: string,
    private readonly parts: readonly string[],
    private readonly isEnded: boolean,
  ) {}

  async write(socket: Socket): Promise<void> {
    const [first = '', ...rest] = this.parts;
    socket.write(first, 'latin1');
    for (const part of rest) {
      await pause(PART_INTERVAL_MS);
      socket.write(part, 'latin1');
    }
    if (this.isEnded) {
      socket.end();
    }
  }
}
