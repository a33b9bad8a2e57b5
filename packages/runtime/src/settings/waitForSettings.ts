import { setTimeout as sleep } from 'node:timers/promises';
import type { Clock, Failure, Result } from '@limpetbay/core';
import type { Log } from '../log/Log.js';
import type { LoadedSettings } from './LoadedSettings.js';
import type { SettingsFormat } from './SettingsFormat.js';
import { readSettings } from './readSettings.js';

/** Longest wait for a file that is being written at the start, milliseconds. */
const MAX_WAIT_MS = 2000;

const READ_INTERVAL_MS = 50;

/** A file that ends within a line counts as complete once it has stayed the same for this time. */
const SETTLE_MS = 100;

/**
 * Reads and checks a settings file at the start of a program, when it may be missing, empty or half
 * written for a moment. A wrong file is read again for 2 s.
 *
 * @param file path of the file
 * @returns the settings, or `invalid_setting` with a line for each wrong value of the last read
 */
export async function waitForSettings<Settings>(
  file: string,
  format: SettingsFormat<Settings>,
  clock: Clock,
  log: Log,
): Promise<Result<LoadedSettings<Settings>, Failure>> {
  const endMs = clock.getNow() + MAX_WAIT_MS;
  let lastText: string | null = null;
  let changedMs = clock.getNow();
  let isLogged = false;
  for (;;) {
    const loaded = readSettings(file, format);
    const nowMs = clock.getNow();
    const text = loaded.ok ? loaded.val.text : null;
    if (text !== lastText) changedMs = nowMs;
    lastText = text;
    const isComplete = text?.endsWith('\n') === true || nowMs - changedMs >= SETTLE_MS;
    if (nowMs >= endMs || (loaded.ok && isComplete)) {
      if (loaded.ok && isLogged) log.report('settings complete; starting', { file });
      return loaded;
    }
    if (loaded.err && !isLogged) {
      isLogged = true;
      const cause = loaded.val.message;
      log.warn('settings cannot be used yet; reading them again', {
        file,
        cause,
        maxWaitMs: MAX_WAIT_MS,
      });
    }
    await sleep(READ_INTERVAL_MS);
  }
}
