import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { SoakRun } from './SoakRun.js';
import { readCommand } from './processes/readCommand.js';
import { buildSchedule } from './schedule/buildSchedule.js';
import { profiles } from './schedule/profiles.js';

const ROOT = new URL('../../', import.meta.url).pathname;

const STATUS_INTERRUPTED = 2;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string' },
    seconds: { type: 'string', default: '30' },
    profile: { type: 'string', default: 'signals' },
    keep: { type: 'boolean', default: false },
  },
});

let current: SoakRun | null = null;

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.on(signal, () => process.exit(STATUS_INTERRUPTED));
}
process.on('exit', () => current?.close());

/** Runs one seed and prints what it showed. @returns whether no rule was broken */
async function runSeed(seed: number, seconds: number, profileName: string): Promise<boolean> {
  const profile = profiles.get(profileName);
  if (profile === undefined) {
    throw new Error(`unknown profile "${profileName}"; known: ${[...profiles.keys()].join(', ')}`);
  }
  const folder = join(ROOT, 'soak/failures', `${profileName}-${seed}`);
  const schedule = buildSchedule(seed, seconds, profile);
  const commands = { entry: readCommand(ROOT, 'entry'), agent: readCommand(ROOT, 'agent') };
  current = new SoakRun({ seed, seconds, profile, schedule, folder, commands });
  const result = await current.run();
  const { violations } = result;
  for (const { rule, atMs, seen } of violations) {
    process.stdout.write(`seed ${seed} at ${(atMs / 1000).toFixed(3)} s: ${rule}: ${seen}\n`);
  }
  const summary = JSON.stringify({ ...result, violations: violations.length });
  process.stdout.write(`seed ${seed}, ${profileName}, ${seconds} s: ${summary}\n`);
  if (violations.length === 0 && !values.keep) {
    rmSync(folder, { recursive: true, force: true });
    return true;
  }
  mkdirSync(folder, { recursive: true });
  writeFileSync(join(folder, 'violations.json'), JSON.stringify(result, null, 1));
  process.stdout.write(`seed ${seed}: schedule, record and logs are in ${folder}\n`);
  return violations.length === 0;
}

const [first = values.seed, last = first] = (values.seeds ?? values.seed).split('..');
let failed = 0;
for (let seed = Number(first); seed <= Number(last); seed += 1) {
  if (!(await runSeed(seed, Number(values.seconds), values.profile))) failed += 1;
}
process.exit(failed > 0 ? 1 : 0);
