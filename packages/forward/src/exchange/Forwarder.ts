/**
 * Entry point of the forwarding of requests.
 */
import type { ServerResponse } from 'node:http';
import type CallerRequest from './CallerRequest.js';
import type ForwarderDependencies from './ForwarderDependencies.js';
import ForwardTask from './ForwardTask.js';
import type RequestBody from './RequestBody.js';

/** Runs one `ForwardTask` for each request. */
export default class Forwarder {
  constructor(private readonly dependencies: ForwarderDependencies) {
    dependencies.metrics.watchHeldPermits(() => dependencies.permits.countHeld());
  }

  /**
   * Resolves once a response or a problem was sent, or nothing more can be sent, with whether a target may have run the
   * request.
   */
  forwardRequest(
    request: CallerRequest,
    body: RequestBody,
    response: ServerResponse,
  ): Promise<boolean> {
    this.dependencies.budget.recordFirstAttempt(request.service, request.plan.targetService);
    return new ForwardTask(this.dependencies, request, body, response).run();
  }
}
