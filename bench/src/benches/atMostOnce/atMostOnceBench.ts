import type { Bench } from '../../report/Bench.js';
import type { BenchResult } from '../../report/BenchResult.js';
import { createResult } from '../../report/createResult.js';
import { Tally } from './Tally.js';
import { runSchedule } from './runSchedule.js';

const FIRST_SEED = 1;

const SCHEDULE_COUNT = 10_000;

/** Runs random fault schedules on the product's classes of entries and agents; schedule n has seed n. */
export const atMostOnceBench: Bench = {
  name: 'at-most-once',
  deterministic: true,
  async run(): Promise<BenchResult[]> {
    const total = new Tally();
    // Each result of ts-results captures a stack trace, which would take a third of the run time.
    const { stackTraceLimit } = Error;
    Error.stackTraceLimit = 0;
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULE_COUNT; seed += 1) {
      const tally = await runSchedule(seed, 'none');
      total.add(tally);
      if (tally.sumViolations() > 0) {
        process.stderr.write(`at-most-once: violation with seed ${seed}\n`);
      }
    }
    Error.stackTraceLimit = stackTraceLimit;
    const figures: [name: string, figure: number, unit: string][] = [
      ['doubled-runs', total.doubledRuns, 'runs'],
      ['wrongly-not-run', total.wronglyNotRun, 'requests'],
      ['wrong-answers', total.wrongAnswers, 'requests'],
      ['late-runs', total.lateRuns, 'runs'],
      ['blocked-keys', total.blockedKeys, 'keys'],
      ['schedules', total.schedules, 'schedules'],
      ['requests', total.requests, 'requests'],
      ['runs', total.runs, 'runs'],
      ['completed', total.completed, 'requests'],
      ['replayed', total.replayed, 'requests'],
      ['told-not-run', total.reportedNotRun, 'requests'],
      ['told-unknown', total.reportedUnknown, 'requests'],
      ['dropped-frames', total.droppedFrames, 'frames'],
    ];
    return figures.map(([name, figure, unit]) =>
      createResult(`at-most-once.${name}`, FIRST_SEED, figure, unit),
    );
  },
};
