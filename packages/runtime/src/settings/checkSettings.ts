import { Ok, fail, type Failure, type Result } from '@limpetbay/core';
import type { LoadedSettings } from './LoadedSettings.js';
import type { SettingsFormat } from './SettingsFormat.js';

/**
 * Checks the whole text of a settings file.
 *
 * @returns the settings, or `invalid_setting` with a line for each wrong value
 */
export function checkSettings<Settings>(
  format: SettingsFormat<Settings>,
  text: string,
  file: string,
): Result<LoadedSettings<Settings>, Failure> {
  let values: ReadonlyMap<string, unknown>;
  try {
    values = format.parse(text);
  } catch (error) {
    return fail('invalid_setting', `${file}: cannot be parsed: ${(error as Error).message}`);
  }
  const settings = format.check(values, file);
  return settings.err ? settings : Ok({ text, values, settings: settings.val });
}
