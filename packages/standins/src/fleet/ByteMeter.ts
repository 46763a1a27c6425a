/**
 * Counting of the bytes of messages between processes.
 */
import { toBinary, type DescMessage, type MessageShape } from '@bufbuild/protobuf';
import type { Interceptor } from '@connectrpc/connect';

/** Counts messages as they are encoded, without the heads of HTTP. */
export default class ByteMeter {
  private bytes = 0;

  readonly interceptor: Interceptor = (next) => async (request) => {
    const { input, output } = request.method;
    if (!request.stream) {
      this.addMessage(input, request.message);
    }
    const response = await next(request);
    if (!response.stream) {
      this.addMessage(output, response.message);
      return response;
    }
    return { ...response, message: this.countStream(output, response.message) };
  };

  countBytes(): number {
    return this.bytes;
  }

  private addMessage<Desc extends DescMessage>(desc: Desc, message: MessageShape<Desc>): void {
    this.bytes += toBinary(desc, message).length;
  }

  private async *countStream<Desc extends DescMessage>(
    desc: Desc,
    messages: AsyncIterable<MessageShape<Desc>>,
  ): AsyncIterable<MessageShape<Desc>> {
    for await (const message of messages) {
      this.addMessage(desc, message);
      yield message;
    }
  }
}
