/**
 * What a command has to say.
 */

/** `data` is printed with `--json`, `lines` without it. */
interface CommandResult {
  readonly data: unknown;
  readonly lines: readonly string[];
}

export default CommandResult;
