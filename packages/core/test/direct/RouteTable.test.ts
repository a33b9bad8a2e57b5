import { describe, expect, it } from 'vitest';
import { EventSplitter, RouteTable, type DirectConfig, type DirectRoute } from '../../src/index.js';

function createRoute(name: string, host: string, prefix: string): DirectRoute {
  return {
    name,
    host,
    prefix,
    kind: 'safe',
    maxAttempts: 1,
    timeoutMs: 1000,
    objectiveMs: 100,
    gapMs: null,
    priority: 0,
    isPublic: false,
    isResumable: false,
    patienceMs: 2000,
    services: [{ service: 's', weight: 1 }],
  };
}

const CONFIG: DirectConfig = {
  version: 3,
  routes: [
    createRoute('short', 'a.example', '/x/'),
    createRoute('long', 'a.example', '/x/y/'),
    createRoute('other', 'b.example', '/x/'),
  ],
  services: [{ name: 's', maxConnections: 1, coldPerSecond: 0, engine: null }],
  workspaces: [{ name: 'w', apiKeys: ['k1', 'k2'], priority: 2 }],
  idleTimeoutMs: 1000,
  headTimeoutMs: 1000,
  maxBodyBytes: 1000,
};

describe('RouteTable', () => {
  const table = new RouteTable(CONFIG);

  it('chooses the longest matching prefix of the host', () => {
    expect(table.findRoute('a.example', '/x/y/z')?.name).toBe('long');
    expect(table.findRoute('a.example', '/x/z')?.name).toBe('short');
    expect(table.findRoute('b.example', '/x/y/z')?.name).toBe('other');
  });

  it('matches complete path segments only', () => {
    expect(table.findRoute('a.example', '/xy/')).toBeUndefined();
    expect(table.findRoute('c.example', '/x/')).toBeUndefined();
  });

  it('finds the workspace of each API key', () => {
    expect(table.findWorkspace('k2')?.name).toBe('w');
    expect(table.findWorkspace('')).toBeUndefined();
  });
});

/** Builds a configuration of 1,001 workspaces with a priority each, and services with one route. */
function buildPriorities(services: number): DirectConfig {
  const names = Array.from({ length: services }, (_, index) => `s${index}`);
  return {
    ...CONFIG,
    routes: names.map((service, index) => ({
      ...createRoute(service, `${service}.example`, '/'),
      priority: index % 3,
      services: [{ service, weight: 1 }],
    })),
    services: names.map((name) => ({ name, maxConnections: 1, coldPerSecond: 0, engine: null })),
    workspaces: Array.from({ length: 1001 }, (_, priority) => ({
      name: `w${priority}`,
      apiKeys: [],
      priority,
    })),
  };
}

describe('the rank of a priority', () => {
  it('counts each priority of the routes of a service and of the workspaces once', () => {
    const table = new RouteTable({
      ...CONFIG,
      routes: [
        { ...createRoute('a', 'a.example', '/'), priority: 1 },
        { ...createRoute('b', 'b.example', '/'), priority: 1 },
        { ...createRoute('c', 'c.example', '/'), priority: 2 },
        { ...createRoute('d', 'd.example', '/'), priority: 0, services: [] },
      ],
    });
    expect([0, 1, 2, 3].map((priority) => table.rankPriority('s', priority))).toEqual([0, 0, 1, 2]);
  });

  // Guards against a table that grows with services times priorities, which exhausts the heap.
  it('takes no memory for each service and workspace', () => {
    const config = buildPriorities(5000);
    const before = process.memoryUsage().heapUsed;
    const table = new RouteTable(config);
    const growth = process.memoryUsage().heapUsed - before;
    expect(table.rankPriority('s7', 5)).toBe(5);
    // A list of the priorities of each service alone would take 40 MB.
    expect(growth).toBeLessThan(20_000_000);
  });
});

describe('EventSplitter', () => {
  it('passes on complete events only, so that no part of an event is ever sent twice', () => {
    const splitter = new EventSplitter();
    const first = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    expect(first.bytes.toString()).toBe('id: 1\ndata: a\n\n');
    expect(splitter.getLastId()).toBe('1');
    const second = splitter.push(Buffer.from('ta: b\n\n'));
    expect(second.bytes.toString()).toBe('id: 2\ndata: b\n\n');
    expect(splitter.getLastId()).toBe('2');
    expect(splitter.countPendingBytes()).toBe(0);
  });
});
