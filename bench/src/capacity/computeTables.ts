import type { CapacitySlope } from './CapacitySlope.js';
import type { CapacityTable } from './CapacityTable.js';
import { RoleLoads } from './RoleLoads.js';
import { SlopeReader } from './SlopeReader.js';
import { buildRoleTable } from './buildRoleTable.js';
import { capacityTolerance } from './capacityTolerance.js';
import { designSize as size } from './designSize.js';
import { formatFigure } from './formatFigure.js';

const SECONDS_PER_DAY = 86_400;
/** Assumed renewal of a planner lease. */
const RENEW_SECONDS = 5;
const CHANGE_SECONDS = 45;
/** Changes of a layer's map in a day at 256 ranks, `skew.256.changes` of the bench `skew`. */
const SWITCHES_PER_DAY = 243;
/** Membership events in which a failure of many instances arrives: 500 ms apart over 5 s. */
const VERSIONS_IN_BURST = 10;
/** Most bytes of a value of the store. */
const VALUE_BYTES = 1e6;

function buildStoreTable(slopes: SlopeReader): CapacityTable {
  const groups = size.workers / size.ranks;
  const watches = slopes.estimate('store.watches', size.zones);
  const claims = slopes.estimate('store.claim-writes', size.keyedPerSecond);
  const other = slopes.estimate('store.claim-calls', size.keyedPerSecond) - claims;
  const accepts = size.changesPerDay / SECONDS_PER_DAY;
  const switches = (groups * slopes.estimateOne('planner.writes')) / CHANGE_SECONDS;
  const leases = groups / RENEW_SECONDS;
  const rows: [string, string, number, number][] = [
    ['watches of relays', slopes.describe('store.watches'), watches, 0],
    ['claims and outcomes', slopes.describe('store.claim-writes'), 0, claims],
    ['reads and leases of claims', slopes.describe('store.claim-calls'), other, 0],
    ['planner leases', `${formatFigure(groups)} groups, renewed every 5 s (assumed)`, 0, leases],
    ['map switches', `${slopes.describeOne('planner.writes')}, every 45 s`, 0, switches],
    ['accepts', 'one read and one write each, 3,500 a day', accepts, accepts],
  ];
  let reads = 0;
  let writes = 0;
  const lines = rows.map(([source, cost, read, write]) => {
    reads += read;
    writes += write;
    return [source, cost, formatFigure(read), formatFigure(write)];
  });
  lines.push(['**sum**', '', `**${formatFigure(reads)}**`, `**${formatFigure(writes)}**`]);
  lines.push(['limit', '', formatFigure(size.storeReads), formatFigure(size.storeWrites)]);
  const room = [size.storeReads - reads, size.storeWrites - writes].map(formatFigure);
  lines.push(['room left', '', ...room]);
  return { id: 'store', columns: ['source', 'cost', 'reads/s', 'writes/s'], rows: lines };
}

function buildListTable(slopes: SlopeReader): CapacityTable {
  const readers = size.zones * size.relaysPerZone;
  const calls = readers / size.listIntervalSeconds;
  const bytes = slopes.estimate('list.read', size.entries + size.workers);
  // An instance that is replaced leaves the list once and joins it once.
  const changes = (2 * (size.restartsPerDay + size.failuresPerDay)) / SECONDS_PER_DAY;
  return {
    id: 'list',
    columns: ['figure', 'product'],
    rows: [
      ['readers: relays that watch the store', formatFigure(readers)],
      ['calls/s, one every 1.5 s for each reader', formatFigure(calls)],
      ['KB of one answer with 2,710 instances', formatFigure(bytes / 1e3)],
      [
        'KB/s sent by the list in all',
        formatFigure((calls * size.listCheckBytes + changes * readers * bytes) / 1e3),
      ],
    ],
  };
}

/** A rank gets the map in three messages, two of them with the map before it. */
function buildSwitchTable(slopes: SlopeReader): CapacityTable {
  const { ranks } = size;
  const messages = slopes.estimate('planner.messages', ranks);
  const bytes = slopes.estimate('planner.bytes', ranks) * ranks + messages * size.packetBytes;
  const paces = [
    ['one every 45 s, the least interval of the planner', SECONDS_PER_DAY / CHANGE_SECONDS],
    ['243 a day, as bench `skew` counts at 256 ranks', SWITCHES_PER_DAY],
  ] as const;
  const rows = paces.map(([pace, perDay]) => {
    const perSecond = (bytes * perDay) / SECONDS_PER_DAY / 1e3;
    const times = (perSecond * 1e3) / size.bytesPerSecond;
    return [pace, formatFigure(bytes / 1e6), formatFigure(perSecond), formatFigure(times)];
  });
  return {
    id: 'switch',
    columns: ['switches of one map for all layers', 'MB each', 'KB/s at the planner', 'of limit'],
    rows,
  };
}

function buildOperatorsTable(slopes: SlopeReader): CapacityTable {
  const processes = size.entries + size.workers;
  const report = slopes.estimate('wire.report', size.models + size.services);
  const accepts = size.changesPerDay / SECONDS_PER_DAY;
  return {
    id: 'operators',
    columns: ['figure', 'product'],
    rows: [
      ['reports asked for by one accept, at least', formatFigure(processes)],
      ['bytes of a report with 20 services', formatFigure(report)],
      ['MB received by one accept, at least', formatFigure((processes * report) / 1e6)],
      ['reports/s answered by each process on average', formatFigure(accepts)],
      ['bytes/s sent by each process on average', formatFigure(accepts * report)],
      ['connections/s opened by all accepts on average', formatFigure(accepts * processes)],
    ],
  };
}

function buildRecordTable(slopes: SlopeReader): CapacityTable {
  const rows: string[][] = [];
  for (const layers of [1, size.layers]) {
    const bytes = slopes.estimate('planner.record', layers);
    const room = VALUE_BYTES - bytes;
    rows.push([
      String(layers),
      formatFigure(bytes / 1e3),
      room >= 0 ? formatFigure(room / 1e3) : `none: ${formatFigure(bytes / VALUE_BYTES)} times`,
    ]);
  }
  return {
    id: 'record',
    columns: ['maps in the record (layers)', 'KB', 'room to 1 MB, KB'],
    rows,
  };
}

function buildFailureTable(slopes: SlopeReader): CapacityTable {
  const processes = size.entries + size.workers;
  const perZone = processes / size.zones;
  const one = slopes.estimateOne('relay.restart');
  const full = slopes.estimate('membership.full', processes);
  const update = slopes.estimate('entry.update', size.workers);
  const views = [
    ['ordinary day: 16 failures, 140 restarts', size.restartsPerDay + size.failuresPerDay, true],
    ['rack of 16 instances (assumed)', 16, false],
    ['zone', perZone, false],
    ['region of 3 zones, cut off', 3 * perZone, false],
  ] as const;
  /** Followers of one relay that reconnect together; the changes of an ordinary day are spread. */
  const countAtOnce = (count: number, isSpread: boolean): number =>
    isSpread ? 1 : Math.max(1, (size.followersPerRelay * Math.min(count, perZone)) / perZone);
  const rows = views.map(([event, count, isSpread]) => [
    event,
    formatFigure(count),
    formatFigure((count * one) / 1e3),
    formatFigure((count * size.linksPerFollower * full) / 1e6),
    formatFigure((countAtOnce(count, isSpread) * full) / 1e6),
    formatFigure(((isSpread ? count : VERSIONS_IN_BURST) * update) / 1e3),
  ]);
  return {
    id: 'failures',
    columns: [
      'event',
      'instances changed',
      'KB to each follower and link',
      'MB of full views to those that start or reconnect',
      'MB of them from one relay at once, on average',
      'ms of an entry for new sets of targets',
    ],
    rows,
  };
}

function buildSlopeTable(slopes: ReadonlyMap<string, CapacitySlope>): CapacityTable {
  const rows: string[][] = [];
  for (const { id, unit, per, kind, slope, intercept, error, sizes } of slopes.values()) {
    rows.push([
      `\`${id}\``,
      `${formatFigure(slope)} ${unit} per ${per}`,
      `${formatFigure(intercept)} ${unit}`,
      formatFigure(Number(error.toFixed(3))),
      sizes.map(formatFigure).join(' / '),
      `factor ${capacityTolerance[kind]}`,
    ]);
  }
  return {
    id: 'slopes',
    columns: ['slope', 'figure', 'intercept', 'relative error', 'sizes', 'tolerance'],
    rows,
  };
}

/** Computes every table of `docs/CAPACITY.md` from the recorded slopes and the design size. */
export function computeTables(recorded: ReadonlyMap<string, CapacitySlope>): CapacityTable[] {
  const slopes = new SlopeReader(recorded);
  const loads = new RoleLoads(slopes);
  return [
    buildRoleTable('entry', loads.listEntry()),
    buildRoleTable('agent', loads.listAgent()),
    buildRoleTable('planner', loads.listPlanner()),
    buildSwitchTable(slopes),
    buildRecordTable(slopes),
    buildRoleTable('plain', loads.listPlain()),
    buildRoleTable('relay', loads.listRelay()),
    buildRoleTable('watching', loads.listWatching()),
    buildStoreTable(slopes),
    buildListTable(slopes),
    buildOperatorsTable(slopes),
    buildFailureTable(slopes),
    buildSlopeTable(recorded),
  ];
}
