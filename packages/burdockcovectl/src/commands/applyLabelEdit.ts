/**
 * Carrying out a change of labels.
 */
import { isLeft, left, type Either } from 'fp-ts/lib/Either.js';
import findNearestName from '@burdockcove/configuration/source/findNearestName';
import formatFaults from '@burdockcove/configuration/formatFaults';
import parseConfiguration from '@burdockcove/configuration/parseConfiguration';
import type Configuration from '@burdockcove/types/Configuration';
import type Labels from '@burdockcove/types/Labels';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import type LabelEdit from './LabelEdit.js';

const LISTS = { target: 'targets', 'failure-domain': 'failureDomains', region: 'regions' } as const;

interface Labelled {
  readonly name: string;
  readonly labels: Labels;
}

function editLabels(labels: Labels, { set, removed }: LabelEdit): Labels {
  const edited = { ...labels, ...set };
  return Object.fromEntries(Object.entries(edited).filter(([name]) => !removed.includes(name)));
}

function checkResult(configuration: Configuration): Either<CtlFailure, Configuration> {
  const checked = parseConfiguration('configuration', JSON.stringify(configuration, null, 2));
  const lines = isLeft(checked) ? formatFaults(checked.left).split('\n') : [];
  return isLeft(checked)
    ? left(createFailure('Refused', 'check configuration', 'it would be faulty', lines))
    : checked;
}

/** The configuration with the labels changed, checked whole. */
export default function applyLabelEdit(
  configuration: Configuration | undefined,
  edit: LabelEdit,
): Either<CtlFailure, Configuration> {
  if (configuration === undefined) {
    return left(createFailure('Refused', 'label', 'there is no configuration yet'));
  }
  const list = LISTS[edit.kind];
  const items: readonly Labelled[] = configuration[list];
  const names = items.map(({ name }) => name);
  if (!names.includes(edit.name)) {
    const nearest = findNearestName(edit.name, names);
    const hint = nearest === undefined ? '' : `; the nearest name is ${nearest}`;
    return left(createFailure('Refused', 'label', `there is no ${edit.kind} ${edit.name}${hint}`));
  }
  const edited = items.map((item) =>
    item.name === edit.name ? { ...item, labels: editLabels(item.labels, edit) } : item,
  );
  return checkResult({ ...configuration, [list]: edited });
}
