/**
 * Messages to the worker thread with a target and callers.
 */

/**
 * `Send`: a new caller connects and sends the text. `Answer`, `Hold`: the target answers requests at once, or holds
 * them, as it does at first. `Run`: after `answerAtMs`, the target answers on each connection and
 * each caller sends `rest`; after `leaveAtMs`, all callers leave. `Count`: asks for the number of requests that reached
 * the target. Times are in milliseconds from the message on.
 */
type PeersMessage =
  | { readonly _tag: 'Answer' | 'Hold' }
  | { readonly _tag: 'Send'; readonly address: string; readonly text: string }
  | {
      readonly _tag: 'Run';
      readonly answerAtMs: number;
      readonly rest: string;
      readonly leaveAtMs: number;
      readonly leave: 'end' | 'reset';
    }
  | { readonly _tag: 'Count' };

export default PeersMessage;
