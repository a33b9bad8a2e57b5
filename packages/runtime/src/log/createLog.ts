import { createConsola } from 'consola/core';
import type { Log } from './Log.js';
import { formatFields } from './formatFields.js';

interface LogOptions {
  /** `json` prints one JSON object a line, `text` one sentence a line. */
  readonly format: 'text' | 'json';
  /** `info` prints everything, `warn` leaves out routine lines, `silent` prints nothing. */
  readonly level: 'info' | 'warn' | 'silent';
  readonly stream?: NodeJS.WritableStream;
}

const LEVELS = { info: 3, warn: 1, silent: -999 } as const;

/**
 * Creates the log of one part.
 *
 * @param prefix fixed prefix of the part, such as `route`
 */
export function createLog(prefix: string, options: LogOptions): Log {
  const stream = options.stream ?? process.stderr;
  const consola = createConsola({
    level: LEVELS[options.level],
    reporters: [
      {
        log: (entry) => {
          const [sentence, fields] = entry.args as [string, Record<string, unknown> | undefined];
          const time = entry.date.toISOString();
          const line =
            options.format === 'json'
              ? JSON.stringify({ time, level: entry.type, part: prefix, sentence, ...fields })
              : `${time} ${entry.type} ${prefix}: ${sentence}${formatFields(fields)}`;
          stream.write(`${line}\n`);
        },
      },
    ],
  });
  return {
    report: (sentence, fields) => consola.info(sentence, fields),
    warn: (sentence, fields) => consola.warn(sentence, fields),
    alert: (sentence, fields) => consola.error(sentence, fields),
  };
}
