/**
 * Label changes as given on the command line.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import type LabelEdit from './LabelEdit.js';

const KINDS: readonly string[] = ['target', 'failure-domain', 'region'];
const SET_PATTERN = /^([A-Za-z][A-Za-z0-9._-]*)=([A-Za-z0-9._-]*)$/;
const REMOVE_PATTERN = /^([A-Za-z][A-Za-z0-9._-]*)-$/;
const FORM = "expected 'label target|failure-domain|region NAME LABEL=VALUE … LABEL- …'";

/** `KIND NAME LABEL=VALUE` sets, `LABEL-` removes. */
export default function parseLabelEdit(words: readonly string[]): Either<CtlFailure, LabelEdit> {
  const [kind = '', name = '', ...edits] = words;
  const set = edits.flatMap((edit) => {
    const match = SET_PATTERN.exec(edit);
    return match === null ? [] : [[match[1] ?? '', match[2] ?? ''] as const];
  });
  const removed = edits.flatMap((edit) => REMOVE_PATTERN.exec(edit)?.[1] ?? []);
  const isWhole = edits.length > 0 && set.length + removed.length === edits.length;
  return KINDS.includes(kind) && name !== '' && isWhole
    ? right({ kind: kind as LabelEdit['kind'], name, set: Object.fromEntries(set), removed })
    : left(createFailure('Usage', 'read command', FORM));
}
