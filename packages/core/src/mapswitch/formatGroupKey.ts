/** Formats a store key of a group: its map record, planner record or planner lease. */
export function formatGroupKey(group: string, part: 'map' | 'planner' | 'planner-lease'): string {
  return `limpetbay/groups/${group}/${part}`;
}
