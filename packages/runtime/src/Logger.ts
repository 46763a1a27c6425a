/**
 * Structured logging.
 */
import { Logger as TsLogger } from 'tslog';
import type LogRateLimiter from './LogRateLimiter.js';

/** Fields that every log line may carry; request bodies and credentials are never logged. */
interface LogFields {
  readonly step?: string;
  readonly peer?: string;
  readonly revision?: number;
  readonly requestId?: string;
  readonly [field: string]: unknown;
}

const MIN_LEVELS = { debug: 2, info: 3, warn: 4, error: 5, silent: 6 } as const;

/** Names of the levels in lines. */
const LEVEL_NAMES = { debug: 'DEBUG', info: 'INFO', warn: 'WARN', error: 'ERROR' } as const;

type Level = keyof typeof LEVEL_NAMES;

/** A line whose fields cannot be written as JSON, such as circular ones, says why instead. */
function formatLine(level: Level, message: string, fields: LogFields): string {
  const head = { time: new Date(), level: LEVEL_NAMES[level], message };
  try {
    return JSON.stringify({ ...head, ...fields });
  } catch (error) {
    return JSON.stringify({ ...head, fault: String(error) });
  }
}

/** Destination of log lines and their rate limit. */
interface LogOutput {
  /** Writes one line with its line break; must not block. */
  readonly writeLine: (line: string) => void;
  readonly rateLimiter: LogRateLimiter;
}

/**
 * Writes one line per record, as JSON or in readable form; with an own output, within its rate limit. `tslog` is only
 * used without one: its copies of the fields cost more than the JSON.
 */
export default class Logger {
  private readonly logger: TsLogger<unknown> | null;

  constructor(
    private readonly level: keyof typeof MIN_LEVELS,
    format: 'json' | 'pretty',
    name = 'burdockcove',
    private readonly output: LogOutput | null = null,
  ) {
    const type = level === 'silent' ? 'hidden' : format;
    this.logger =
      output === null ? new TsLogger({ name, type, minLevel: MIN_LEVELS[level] }) : null;
  }

  debug(message: string, fields: LogFields = {}): void {
    this.write('debug', message, fields);
  }

  info(message: string, fields: LogFields = {}): void {
    this.write('info', message, fields);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.write('warn', message, fields);
  }

  error(message: string, fields: LogFields = {}): void {
    this.write('error', message, fields);
  }

  private write(level: Level, message: string, fields: LogFields): void {
    if (this.output === null) {
      this.logger?.[level](message, fields);
    } else if (MIN_LEVELS[level] >= MIN_LEVELS[this.level]) {
      this.writeLine(this.output, level, message, fields);
    }
  }

  private writeLine(
    { rateLimiter, writeLine }: LogOutput,
    level: Level,
    message: string,
    fields: LogFields,
  ): void {
    const leftOut = rateLimiter.tryAcquireLine(message);
    if (leftOut !== null) {
      const line = formatLine(level, message, leftOut > 0 ? { ...fields, leftOut } : fields);
      writeLine(`${line}\n`);
    }
  }
}
