/**
 * A file in JSON with comments, with the place of each value.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import type Fault from '../Fault.js';
import type Finding from '../Finding.js';
import describeNode from './describeNode.js';

type Path = Finding['path'];

/** Turns paths into lines and columns. */
export default class SourceText {
  readonly value: unknown;

  private readonly duplicates: readonly Fault[];

  private constructor(
    private readonly file: string,
    private readonly text: string,
    private readonly root: Node,
  ) {
    this.duplicates = this.removeDuplicates(root);
    this.value = getNodeValue(root);
  }

  /** Reads the text; comments and trailing commas are allowed. All syntax faults at once. */
  static parse(file: string, text: string): Either<readonly Fault[], SourceText> {
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true });
    if (root === undefined || errors.length > 0) {
      const empty = { error: 4, offset: 0, length: 0 };
      const found = errors.length > 0 ? errors : [empty];
      return left(found.map((error) => SourceText.toSyntaxFault(file, text, error)));
    }
    return right(new SourceText(file, text, root));
  }

  /** The place of a key that is not known is the key itself. */
  toFaultAtKey(path: Path, key: string, expected: string): Fault {
    const owner = findNodeAtLocation(this.root, [...path]);
    const property = owner?.children?.find((child) => child.children?.[0]?.value === key);
    const found = `unknown key ${JSON.stringify(key)}`;
    return this.toFaultAt(property?.offset ?? owner?.offset ?? 0, found, expected);
  }

  /** A missing value's place is the object or list that should hold it. */
  toFault({ path, found, expected }: Finding): Fault {
    const node = findNodeAtLocation(this.root, [...path]);
    if (node !== undefined) {
      return this.toFaultAt(node.offset, found || describeNode(node), expected);
    }
    const owner = findNodeAtLocation(this.root, path.slice(0, -1));
    const missing = `no ${JSON.stringify(path.at(-1) ?? '')}`;
    return this.toFaultAt(owner?.offset ?? 0, found || missing, expected);
  }

  /** Keys that stand twice in one object; only the first of them is read further. */
  listDuplicateKeys(): readonly Fault[] {
    return this.duplicates;
  }

  private removeDuplicates(node: Node): readonly Fault[] {
    const children = node.children ?? [];
    const keys = new Map<unknown, Node>();
    if (node.type === 'object') {
      children.forEach((property) => {
        const key: unknown = property.children?.[0]?.value;
        keys.set(key, keys.get(key) ?? property);
      });
    }
    const kept = node.type === 'object' ? [...keys.values()] : children;
    const known = new Set(kept);
    const faults = children
      .filter((child) => !known.has(child))
      .map((child) => this.toDuplicateFault(child));
    if (faults.length > 0) {
      children.splice(0, children.length, ...kept);
    }
    return [...faults, ...kept.flatMap((child) => this.removeDuplicates(child))];
  }

  private toDuplicateFault(property: Node): Fault {
    const found = `a second key ${JSON.stringify(property.children?.[0]?.value)}`;
    return this.toFaultAt(property.offset, found, 'each key once');
  }

  private toFaultAt(offset: number, found: string, expected: string): Fault {
    return { file: this.file, ...SourceText.findPosition(this.text, offset), found, expected };
  }

  private static toSyntaxFault(file: string, text: string, error: ParseError): Fault {
    const token = text.slice(error.offset, error.offset + Math.max(error.length, 1)).trim();
    const found = token === '' ? 'the end of the file or of a line' : JSON.stringify(token);
    const problem = printParseErrorCode(error.error).replace(/([a-z])([A-Z])/g, '$1 $2');
    const expected = `JSON with comments (${problem.toLowerCase()})`;
    return { file, ...SourceText.findPosition(text, error.offset), found, expected };
  }

  private static findPosition(text: string, offset: number): { line: number; column: number } {
    const before = text.slice(0, offset);
    const lineStart = before.lastIndexOf('\n') + 1;
    return { line: before.split('\n').length, column: offset - lineStart + 1 };
  }
}
