/**
 * One connection of a client, which it keeps for several requests, one after the other.
 */
import { Agent, request as sendRequest } from 'node:http';

export default class CallerConnection {
  agent = new Agent({ keepAlive: true, maxSockets: 1 });

  constructor(address) {
    this.address = address;
  }

  /**
   * Sends a request. Resolves with its status and body; `isWhole` is false if the answer ends early, and the status is
   * zero if the connection ends without an answer. `leaveAfterMs` closes the connection after that time.
   */
  send({ id, path, method = 'GET', deadlineMs = 2500, key = id, leaveAfterMs }) {
    const { host, port } = this.address;
    const headers = {
      Host: 'ficu95.example',
      'X-Attempt-Id': id,
      'X-Deadline-Ms': String(deadlineMs),
      Cookie: `X-Affinity-Key=${key}`,
    };
    return new Promise((resolve) => {
      const options = { host, port, path, method, headers, agent: this.agent };
      const message = sendRequest(options, (response) => {
        const parts = [];
        const finish = (isWhole) => {
          const body = Buffer.concat(parts).toString('latin1');
          resolve({ status: response.statusCode, headers: response.headers, body, isWhole });
        };
        response.on('data', (part) => parts.push(part));
        response.on('end', () => finish(response.complete));
        response.on('error', () => finish(false));
      });
      message.on('error', (error) =>
        resolve({ status: 0, headers: {}, body: '', isWhole: false, error: error.message }),
      );
      message.end();
      if (leaveAfterMs !== undefined) {
        setTimeout(() => message.destroy(new Error('the client left')), leaveAfterMs);
      }
    });
  }

  close() {
    this.agent.destroy();
  }
}
