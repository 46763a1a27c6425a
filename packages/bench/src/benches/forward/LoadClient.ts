/**
 * The caller of the forward bench.
 */
import { Pool } from 'undici';
import type Random from '@burdockcove/runtime/Random';

const CONNECTIONS = 48;
/** Orders among all requests; the others are look-ups of stock. */
const ORDER_SHARE = 0.2;
const ORDER = Buffer.alloc(200, 'o');
const OK_STATUS = 200;
const ANSWER_BYTES = 1024;

/** Sends requests over kept connections and checks each answer's length. */
export default class LoadClient {
  private readonly pool: Pool;

  constructor(
    address: string,
    private readonly random: Random,
  ) {
    this.pool = new Pool(`http://${address}`, { connections: CONNECTIONS });
  }

  /** Sends one request; rejects where the answer is not whole. */
  send(): Promise<void> {
    const isOrder = this.random.nextFloat() < ORDER_SHARE;
    return new Promise((resolve, reject) => {
      let bytes = 0;
      let status = 0;
      this.pool.dispatch(
        {
          method: isOrder ? 'POST' : 'GET',
          path: isOrder ? '/orders' : '/stock/sachet?place=bdg',
          headers: { host: 'desk.example', accept: 'application/json', member: 'm-17' },
          body: isOrder ? ORDER : null,
        },
        {
          onRequestStart: () => undefined,
          onResponseStart: (_controller, code) => {
            status = code;
          },
          onResponseData: (_controller, chunk) => {
            bytes += chunk.length;
          },
          onResponseEnd: () => {
            if (status === OK_STATUS && bytes === ANSWER_BYTES) {
              resolve();
            } else {
              reject(new Error(`status ${status}, ${bytes} bytes`));
            }
          },
          onResponseError: (_controller, error) => reject(error),
        },
      );
    });
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }
}
