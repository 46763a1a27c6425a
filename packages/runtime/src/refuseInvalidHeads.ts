/**
 * Interceptor of undici that fails a call at a response with an invalid head, which also closes its connection.
 */
import type { Dispatcher } from 'undici';
import findHeadFault from './findHeadFault.js';

type Handler = Dispatcher.DispatchHandler;

/** Passes on all events of a call up to an invalid head. */
class HeadCheck implements Handler {
  constructor(private readonly inner: Handler) {}

  onRequestStart(...event: Parameters<Required<Handler>['onRequestStart']>): void {
    this.inner.onRequestStart?.(...event);
  }

  onResponseStart(...event: Parameters<Required<Handler>['onResponseStart']>): void {
    const [controller, status, headers] = event;
    const fault = findHeadFault(status, headers);
    if (fault === undefined) {
      this.inner.onResponseStart?.(...event);
    } else {
      controller.abort(new Error(fault));
    }
  }

  onResponseData(...event: Parameters<Required<Handler>['onResponseData']>): void {
    this.inner.onResponseData?.(...event);
  }

  onResponseEnd(...event: Parameters<Required<Handler>['onResponseEnd']>): void {
    this.inner.onResponseEnd?.(...event);
  }

  onResponseError(...event: Parameters<Required<Handler>['onResponseError']>): void {
    this.inner.onResponseError?.(...event);
  }
}

/** Returns the dispatch function with the check. */
export default function refuseInvalidHeads(dispatch: Dispatcher.Dispatch): Dispatcher.Dispatch {
  return (options, handler) => dispatch(options, new HeadCheck(handler));
}
