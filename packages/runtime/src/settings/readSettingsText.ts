import { readFileSync, statSync } from 'node:fs';
import { Ok, fail, type Failure, type Result } from '@limpetbay/core';

/** Largest settings file; far above any that a person or a template writes. */
const MAX_FILE_BYTES = 1_048_576;

/**
 * Reads the text of a settings file.
 *
 * @returns `invalid_setting` if the file cannot be read, is not a regular file or is too large
 */
export function readSettingsText(file: string): Result<string, Failure> {
  try {
    const state = statSync(file);
    // The read of a pipe or a device may never end.
    if (!state.isFile()) return fail('invalid_setting', `${file}: is not a regular file`);
    if (state.size > MAX_FILE_BYTES) {
      return fail('invalid_setting', `${file}: is larger than ${MAX_FILE_BYTES} bytes`);
    }
    return Ok(readFileSync(file, 'utf8'));
  } catch (error) {
    return fail('invalid_setting', `${file}: cannot be read: ${(error as Error).message}`);
  }
}
