/**
 * What a caller can be told.
 */

/** What a caller was told. */
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
