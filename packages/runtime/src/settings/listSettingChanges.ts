import type { SettingChange } from './SettingChange.js';

function formatValue(value: unknown): string | null {
  return value === undefined ? null : String(value);
}

/** Lists the settings whose values differ. */
export function listSettingChanges(
  before: ReadonlyMap<string, unknown>,
  after: ReadonlyMap<string, unknown>,
): SettingChange[] {
  const changes: SettingChange[] = [];
  for (const name of new Set([...before.keys(), ...after.keys()])) {
    const from = formatValue(before.get(name));
    const to = formatValue(after.get(name));
    if (from !== to) changes.push({ name, from, to });
  }
  return changes;
}
