import { mkdtempSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { runApp } from '@limpetbay/cli';
import { InstanceRecord, SeededRandom } from '@limpetbay/core';
import { EtcdStore, InstanceListClient } from '@limpetbay/platform';
import { ConfigService } from '@limpetbay/rpc';
import { RealClock } from '@limpetbay/runtime';
import { InstanceListServer, StoreServer } from '@limpetbay/standins';

const examples = fileURLToPath(new URL('../../../examples/', import.meta.url));
const houses = ['ofori', 'le-goff'];

async function run(...args: string[]): Promise<{ status: number; out: string; err: string }> {
  const out: string[] = [];
  const err: string[] = [];
  const status = await runApp(args, '0.1.0', {
    print: (text) => out.push(text),
    warn: (text) => err.push(text),
  });
  return { status, out: out.join('\n'), err: err.join('\n') };
}

function writeFile(name: string, text: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'limpetbay-')), name);
  writeFileSync(file, text);
  return file;
}

describe('limpetbay without a connection', () => {
  // Guards against examples that the program itself refuses.
  it.each(houses)('validates the documents and settings of %s', async (house) => {
    const folder = join(examples, house, 'documents');
    const files = readdirSync(folder);
    expect(files.length).toBe(2);
    for (const file of files) {
      expect(await run('validate', join(folder, file))).toMatchObject({ status: 0, err: '' });
    }
    const settings = join(examples, house, 'limpetbay.ini');
    expect(await run('--settings', settings, '--check')).toMatchObject({ status: 0 });
  });

  // Guards against a wrong setting that does not say where it stands, and a wrong exit status.
  it('names file, section, key and range of a wrong setting with exit status 2', async () => {
    const text = readFileSync(join(examples, 'ofori', 'limpetbay.ini'), 'utf8');
    const settings = writeFile(
      'limpetbay.ini',
      text.replace('confirm_ms = 3000', 'confirm_ms = x'),
    );
    const result = await run('status', '--settings', settings);
    expect(result.status).toBe(2);
    expect(result.err).toContain(`${settings}: [accept] confirm_ms`);
    const missing = writeFile('limpetbay.ini', text.replace('address =', 'adress ='));
    expect((await run('status', '--settings', missing)).err).toContain('adress');
    const wide = writeFile('limpetbay.ini', text.replace('timeout_ms = 2000', 'timeout_ms = 1'));
    expect((await run('--check', '--settings', wide)).err).toMatch(/timeout_ms.*50/);
  });

  it('prints help and version, and refuses an unknown command', async () => {
    const help = await run('--help');
    for (const name of ['accept', 'validate', 'show', 'diff', 'status']) {
      expect(help.out + help.err).toContain(name);
    }
    expect((await run('--version')).out).toContain('0.1.0');
    expect((await run('obey')).status).not.toBe(0);
  });
});

describe('limpetbay against the stand-ins', () => {
  const clock = new RealClock();
  let store: StoreServer;
  let list: InstanceListServer;
  let settings: string;
  let stops: (() => void)[];

  beforeEach(async () => {
    store = new StoreServer({ clock });
    list = new InstanceListServer({ clock });
    await store.start();
    await list.start();
    settings = writeFile(
      'limpetbay.ini',
      `[store]\naddress = ${store.address}\ntimeout_ms = 500\n[instances]\nurl = ${list.url}\n` +
        '[accept]\nconfirm_ms = 3000\n',
    );
    stops = [];
    const records: InstanceRecord[] = [];
    for (const id of ['entry-a-0', 'entry-a-1']) {
      const server = new Server();
      const port = await new Promise<number>((resolve) => {
        server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, bound) =>
          resolve(bound),
        );
      });
      const address = `127.0.0.1:${port}`;
      const self = InstanceRecord.parse({ id, role: 'entry', zone: 'a', address, state: 'live' });
      const client = new EtcdStore({ address: store.address, clock });
      const instanceList = new InstanceListClient({ url: list.url });
      const random = new SeededRandom(port);
      const log = { report: () => {}, warn: () => {} };
      const options = { store: client, instanceList, self, clock, random, server, log };
      const config = new ConfigService(options);
      config.start();
      records.push(self);
      stops.push(() => {
        config.stop();
        client.close();
        server.forceShutdown();
        void instanceList.close();
      });
    }
    list.setRecords(records);
    await vi.waitFor(async () => {
      expect((await run('status', '--settings', settings)).status).toBe(0);
    }, 10_000);
  });

  afterEach(async () => {
    for (const stop of stops) stop();
    await store.stop();
    await list.stop();
  });

  const file = join(examples, 'ofori', 'documents', 'bookings.ini');

  // Guards against an accept that reports success before the document is in force, and against
  // a copy that `accept` does not take back.
  it('accepts, shows, diffs and reports a document in force', async () => {
    const accepted = await run('accept', file, '--settings', settings);
    expect(accepted).toMatchObject({ status: 0, err: '' });
    expect(accepted.out).toContain('in force in 2 of 2 processes');
    const shown = await run('show', 'bookings', '--settings', settings);
    const copy = writeFile('bookings.ini', shown.out);
    expect((await run('diff', copy, '--settings', settings)).out).toContain('no difference');
    const again = await run('accept', copy, '--settings', settings);
    expect(again.out).toContain('already accepted');
    const edited = writeFile('bookings.ini', shown.out.replace(/^in = .*$/m, 'in = a, b'));
    expect((await run('diff', edited, '--settings', settings)).out).toContain(
      '[zones] in: a, b, c -> a, b',
    );
    expect((await run('accept', edited, '--settings', settings)).status).toBe(0);
    // The other operator edits the copy that was shown before: both sides must be visible.
    const late = writeFile('bookings.ini', shown.out.replace('queue = 64', 'queue = 65'));
    const loser = await run('accept', late, '--settings', settings);
    expect(loser.status).toBe(1);
    expect(loser.err).toContain('conflict');
    expect(loser.err).toContain('[limits] queue: 64 -> 65');
    expect(loser.err).toContain('[zones] in: a, b -> a, b, c');
  });

  // Guards against an accept that hides who does not follow, and a status that hides a problem.
  it('names the process that has not confirmed and shows the problem first', async () => {
    stops.pop()?.();
    const accepted = await run('accept', file, '--settings', settings);
    expect(accepted.status).toBe(3);
    expect(accepted.out).toContain('in force in 1 of 2 processes');
    expect(accepted.err).toContain('not confirmed: entry-a-1 (zone a): no answer');
    store.setOutage(true);
    const status = await run('status', '--settings', settings);
    expect(status.status).toBe(1);
    expect(status.out).toMatch(/^PROBLEMS: 2\n1\. the store does not answer/);
    expect(status.out).toContain('2. no answer: 1 of 2 instances');
    expect(status.out).toContain('entry-a-1 (zone a, entry, 127.0.0.1');
    // While the store is down, the processes still tell what is in force.
    expect(status.out).toMatch(/^bookings +2 +1 of 2 /m);
  });
});
