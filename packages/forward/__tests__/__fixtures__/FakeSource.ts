/**
 * Source of one target's response, with one exchange, without a network.
 */
import type { ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import FakeClock from '@burdockcove/runtime/FakeClock';
import HttpTargetProtocol from '@burdockcove/targets/HttpTargetProtocol';
import CallerPipeline from '../../src/exchange/CallerPipeline.js';
import Exchange from '../../src/exchange/Exchange.js';
import ReadAheadBudget from '../../src/exchange/ReadAheadBudget.js';
import type TargetConnection from '../../src/exchange/TargetConnection.js';
import type FakeResponse from './FakeResponse.js';

/** Bytes of framing of a small piece on the wire. */
const FRAMING_BYTES = 5;

/** Passes on pieces as the client library does: none after a pause, until it is resumed. */
export default class FakeSource {
  isPaused = false;

  readonly rawHeaders: readonly Buffer[] = [];

  private readonly exchange: Exchange;

  constructor(response: FakeResponse) {
    const connection = { expectHead: () => {}, recordHead: () => {} };
    this.exchange = new Exchange(
      connection as unknown as TargetConnection,
      { requestId: '1', targetName: 't' },
      response as unknown as ServerResponse,
      new HttpTargetProtocol(),
      new FakeClock(),
      new CallerPipeline(new ReadAheadBudget(0)),
      { onNotice: () => {}, onResponding: () => {}, onExchangeEnd: () => {} },
    );
    this.exchange.onRequestStart(this.controller);
    this.exchange.onResponseStart(this.controller, 200, { 'transfer-encoding': 'chunked' });
  }

  /** Offers the pieces of one read of so many bytes, and returns how many were passed on. */
  offer(size: number, bytes: number): number {
    const piece = Buffer.alloc(size, 'p');
    const most = Math.ceil(bytes / (size + FRAMING_BYTES));
    let passed = 0;
    while (passed < most && !this.isPaused) {
      this.exchange.onResponseData(this.controller, piece);
      passed += 1;
    }
    return passed;
  }

  end(): void {
    this.exchange.onResponseEnd(this.controller);
  }

  private get controller(): Dispatcher.DispatchController {
    return {
      rawHeaders: this.rawHeaders,
      pause: () => {
        this.isPaused = true;
      },
      resume: () => {
        this.isPaused = false;
      },
    } as unknown as Dispatcher.DispatchController;
  }
}
