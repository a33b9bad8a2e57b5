import type { Failure, Result } from '@limpetbay/core';
import type { LoadedSettings } from './LoadedSettings.js';
import type { SettingsFormat } from './SettingsFormat.js';
import { checkSettings } from './checkSettings.js';
import { readSettingsText } from './readSettingsText.js';

/**
 * Reads and checks a settings file.
 *
 * @param file path of the file
 * @returns the settings, or `invalid_setting` with a line for each wrong value
 */
export function readSettings<Settings>(
  file: string,
  format: SettingsFormat<Settings>,
): Result<LoadedSettings<Settings>, Failure> {
  const text = readSettingsText(file);
  return text.err ? text : checkSettings(format, text.val, file);
}
