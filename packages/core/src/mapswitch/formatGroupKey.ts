/** Formats the store key of a group's map record, planner record or planner lease. */
export function formatGroupKey(group: string, part: 'map' | 'planner' | 'planner-lease'): string {
  return `limpetbay/groups/${group}/${part}`;
}
