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

/** What `tslog` passes to a transport for a message with fields. */
interface LogRecord {
  readonly 0: string;
  readonly 1: LogFields;
  readonly _logMeta: { readonly date: Date; readonly logLevelName: string };
}

function formatLine({ 0: message, 1: fields, _logMeta: meta }: LogRecord): string {
  return JSON.stringify({ time: meta.date, level: meta.logLevelName, message, ...fields });
}

/** Destination of log lines and their rate limit. */
interface LogOutput {
  /** Writes one line with its line break; must not block. */
  readonly writeLine: (line: string) => void;
  readonly rateLimiter: LogRateLimiter;
}

/** Writes one line per record, as JSON or in readable form; with an own output, within its rate limit. */
export default class Logger {
  private readonly logger: TsLogger<unknown>;

  constructor(
    level: keyof typeof MIN_LEVELS,
    format: 'json' | 'pretty',
    name = 'burdockcove',
    private readonly output: LogOutput | null = null,
  ) {
    const type = level === 'silent' || output !== null ? 'hidden' : format;
    const stack = output === null ? {} : { stack: { capture: 'off' as const } };
    this.logger = new TsLogger({ name, type, minLevel: MIN_LEVELS[level], ...stack });
    if (output !== null) {
      this.logger.attachTransport((record) => {
        output.writeLine(`${formatLine(record as unknown as LogRecord)}\n`);
      });
    }
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

  private write(
    level: 'debug' | 'info' | 'warn' | 'error',
    message: string,
    fields: LogFields,
  ): void {
    const leftOut = this.output === null ? 0 : this.output.rateLimiter.tryAcquireLine(message);
    if (leftOut === null) {
      return;
    }
    this.logger[level](message, leftOut > 0 ? { ...fields, leftOut } : fields);
  }
}
