/**
 * The `status` command: what the entry VMs say, beside what the store holds.
 */
import { isLeft, isRight, left, right, type Either } from 'fp-ts/lib/Either.js';
import type CtlFailure from '../errors/CtlFailure.js';
import createFailure from '../errors/createFailure.js';
import readCurrent from '../store/readCurrent.js';
import type CommandContext from './CommandContext.js';
import type CommandResult from './CommandResult.js';

/** The part of `GET /status` that is told in words. */
interface NodeStatus {
  readonly revision: number;
  readonly ready: boolean;
  readonly reasons: readonly string[];
}

/** One entry VM's answer. */
interface AskedNode {
  readonly address: string;
  readonly answer: Either<CtlFailure, unknown>;
}

function describeNode({ address, answer }: AskedNode, stored: number | undefined): string {
  if (isLeft(answer)) {
    return `${address}: no answer: ${answer.left.detail}`;
  }
  const { revision, ready, reasons } = answer.right as NodeStatus;
  const behind = stored !== undefined && revision < stored ? `, behind the store's ${stored}` : '';
  return `${address}: ${ready ? 'ready' : `not ready (${reasons.join('; ')})`}, revision ${revision}${behind}`;
}

/** Refused only where neither the store nor any entry VM answers. */
export default async function runStatus(
  context: CommandContext,
): Promise<Either<CtlFailure, CommandResult>> {
  const current = await readCurrent(context.store);
  const nodes: AskedNode[] = await Promise.all(
    context.admins.map(async (address) => ({
      address,
      answer: await context.fetchAdmin(address, '/status'),
    })),
  );
  const isAnswered = nodes.some(({ answer }) => isRight(answer));
  if (isLeft(current) && !isAnswered) {
    return left(createFailure('Refused', 'status', current.left.detail));
  }
  const stored = isRight(current) ? current.right.revision : undefined;
  const storeLine = isRight(current)
    ? `store: revision ${current.right.revision}`
    : `store: ${current.left.detail}`;
  const data = {
    stored: stored ?? null,
    nodes: nodes.map(({ address, answer }) => ({
      address,
      ...(isRight(answer) ? { status: answer.right } : { error: answer.left.detail }),
    })),
  };
  return right({ data, lines: [storeLine, ...nodes.map((node) => describeNode(node, stored))] });
}
