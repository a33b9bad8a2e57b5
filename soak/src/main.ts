import { readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { SoakRun } from './SoakRun.js';
import { readCommand } from './processes/readCommand.js';
import { buildSchedule } from './schedule/buildSchedule.js';
import { profiles } from './schedule/profiles.js';

/** A seed to run; `soak/seeds.json` keeps what was seen and its cause beside it. */
interface RecordedSeed {
  readonly seed: number;
  readonly seconds: number;
  readonly profile: string;
}

const ROOT = new URL('../../', import.meta.url).pathname;

/** The rules give a deployment this time to recover, milliseconds. */
const RECOVERY_MS = 12_000;

const STATUS_INTERRUPTED = 2;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string' },
    seconds: { type: 'string', default: '30' },
    profile: { type: 'string', default: 'full' },
    // Replays the seeds of `soak/seeds.json`.
    regressions: { type: 'boolean', default: false },
    // Keeps the folder of a run without a violation too.
    keep: { type: 'boolean', default: false },
    // Runs another program in place of both programs of the deploy file.
    command: { type: 'string' },
  },
});

let current: SoakRun | null = null;

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.on(signal, () => process.exit(STATUS_INTERRUPTED));
}
process.on('exit', () => current?.close());

/** Runs one seed and prints what it showed. @returns whether no rule was broken */
async function runSeed({ seed, seconds, profile: name }: RecordedSeed): Promise<boolean> {
  const profile = profiles.get(name);
  if (profile === undefined) {
    throw new Error(`unknown profile "${name}"; known: ${[...profiles.keys()].join(', ')}`);
  }
  const folder = join(ROOT, 'soak/failures', `${name}-${seed}`);
  const schedule = buildSchedule(seed, seconds, profile);
  const [entry, agent] = (['entry', 'agent'] as const).map(
    (role) => values.command?.split(' ') ?? readCommand(ROOT, role),
  );
  const commands = { entry: entry!, agent: agent! };
  const recoveryMs = RECOVERY_MS;
  current = new SoakRun({ seed, seconds, profile, schedule, folder, commands, recoveryMs });
  const result = await current.run();
  const { violations } = result;
  for (const { rule, atMs, seen } of violations) {
    process.stdout.write(`seed ${seed} at ${(atMs / 1000).toFixed(3)} s: ${rule}: ${seen}\n`);
  }
  const summary = JSON.stringify({ ...result, violations: violations.length });
  process.stdout.write(`seed ${seed}, ${name}, ${seconds} s: ${summary}\n`);
  if (violations.length === 0 && !values.keep) {
    rmSync(folder, { recursive: true, force: true });
    return true;
  }
  writeFileSync(join(folder, 'violations.json'), JSON.stringify(result, null, 1));
  process.stdout.write(`seed ${seed}: schedule, record and logs are in ${folder}\n`);
  return violations.length === 0;
}

/** Lists the seeds to run. */
function listSeeds(): RecordedSeed[] {
  if (values.regressions) {
    return JSON.parse(readFileSync(join(ROOT, 'soak/seeds.json'), 'utf8')) as RecordedSeed[];
  }
  const [first = '', last = first] = (values.seeds ?? values.seed).split('..');
  const seeds: RecordedSeed[] = [];
  for (let seed = Number(first); seed <= Number(last); seed += 1) {
    seeds.push({ seed, seconds: Number(values.seconds), profile: values.profile });
  }
  return seeds;
}

let failed = 0;
for (const seed of listSeeds()) if (!(await runSeed(seed))) failed += 1;
process.exit(failed > 0 ? 1 : 0);
