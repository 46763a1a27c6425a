/**
 * The result of a request as its caller sees it.
 */

/** `NotRun` and `Unknown` are problem documents; `Broken` is a connection that failed before the end of the response. */
type CallerResult =
  | {
      readonly _tag: 'Answer';
      readonly status: number;
      readonly headers: Record<string, unknown>;
      readonly body: string;
    }
  | { readonly _tag: 'NotRun' | 'Unknown'; readonly status: number; readonly body: string }
  | { readonly _tag: 'Broken' };

export default CallerResult;
