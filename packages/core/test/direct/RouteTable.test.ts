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
