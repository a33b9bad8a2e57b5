import type { CapacityTable } from './CapacityTable.js';
import type { RoleLoad } from './RoleLoad.js';
import { designSize } from './designSize.js';
import { formatFigure } from './formatFigure.js';

const US_PER_PERCENT = 1e4;

const limits = {
  core: { unit: '% of a core', divisor: US_PER_PERCENT, limit: designSize.corePercent },
  memory: { unit: 'MB', divisor: 1e6, limit: designSize.memoryBytes / 1e6 },
  network: { unit: 'KB/s', divisor: 1e3, limit: designSize.bytesPerSecond / 1e3 },
} as const;

function formatUnit(value: number, unit: string): string {
  return `${formatFigure(value)}${unit.startsWith('%') ? '' : ' '}${unit}`;
}

/** Builds the table of a role, with the sum of its control overhead against each limit. */
export function buildRoleTable(id: string, loads: readonly RoleLoad[]): CapacityTable {
  const rows: string[][] = [];
  for (const resource of ['core', 'memory', 'network'] as const) {
    const { unit, divisor, limit } = limits[resource];
    if (!loads.some((load) => load.resource === resource)) continue;
    let sum = 0;
    for (const load of loads) {
      if (load.resource !== resource) continue;
      const product = load.product / divisor;
      const kind = load.isControl ? 'control' : 'answers';
      if (load.isControl) sum += product;
      rows.push([load.figure, load.cost, load.load, formatUnit(product, unit), kind, '']);
    }
    const room = limit - sum;
    const left = room >= 0 ? formatUnit(room, unit) : `none: ${formatFigure(sum / limit)} times`;
    const total = `**${formatUnit(sum, unit)}**`;
    rows.push(['**sum of control**', '', `limit ${formatUnit(limit, unit)}`, total, '', left]);
  }
  return { id, columns: ['figure', 'cost', 'load', 'product', 'kind', 'room left'], rows };
}
