import { readFileSync } from 'node:fs';
import { Ok, fail, type Failure, type Result } from '@limpetbay/core';

/** Reads the text of a settings file. @returns `invalid_setting` if the file cannot be read */
export function readSettingsText(file: string): Result<string, Failure> {
  try {
    return Ok(readFileSync(file, 'utf8'));
  } catch (error) {
    return fail('invalid_setting', `${file}: cannot be read: ${(error as Error).message}`);
  }
}
