import { parse } from 'ini';
import type { z } from 'zod';
import { Ok, fail, type Failure, type Result } from '@limpetbay/core';
import { formatSettingIssue } from './formatSettingIssue.js';
import type { SettingsFormat } from './SettingsFormat.js';

/** INI file with one level of sections; the name of a setting is `section.key`. */
export class IniFormat<Schema extends z.ZodType> implements SettingsFormat<z.infer<Schema>> {
  readonly #schema: Schema;

  readonly #liveNames: ReadonlySet<string>;

  /**
   * @param schema object of sections; INI values are strings, so numbers need `z.coerce`
   * @param liveNames settings that may change while the program runs
   */
  constructor(schema: Schema, liveNames: readonly string[] = []) {
    this.#schema = schema;
    this.#liveNames = new Set(liveNames);
  }

  parse(text: string): ReadonlyMap<string, unknown> {
    const values = new Map<string, unknown>();
    for (const [section, content] of Object.entries(parse(text))) {
      if (typeof content !== 'object' || content === null) {
        // A key outside of a section has an empty one, so that it is not taken for `section.key`.
        values.set(`.${section}`, content);
        continue;
      }
      const keys = Object.entries(content as object);
      // An empty section can be wrong, too: its name may be unknown.
      if (keys.length === 0) values.set(`${section}.`, undefined);
      for (const [key, value] of keys) values.set(`${section}.${key}`, value);
    }
    return values;
  }

  check(values: ReadonlyMap<string, unknown>, file: string): Result<z.infer<Schema>, Failure> {
    // Without prototypes, so that names of the file cannot reach `Object.prototype`.
    const sections = Object.create(null) as Record<string, unknown>;
    for (const [name, value] of values) {
      const separatorIndex = name.indexOf('.');
      const section = name.slice(0, separatorIndex);
      const key = name.slice(separatorIndex + 1);
      if (section === '') {
        sections[key] = value;
        continue;
      }
      sections[section] ??= Object.create(null);
      if (key !== '') (sections[section] as Record<string, unknown>)[key] = value;
    }
    const checked = this.#schema.safeParse(sections);
    if (checked.success) return Ok(checked.data);
    const lines = checked.error.issues.map(
      (issue) => `${file}: ${formatSettingIssue(issue, this.#schema)}`,
    );
    return fail('invalid_setting', lines.join('\n'));
  }

  isLive(name: string): boolean {
    return this.#liveNames.has(name);
  }
}
