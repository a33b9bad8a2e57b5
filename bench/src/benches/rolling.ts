import { DevFleet, defaultFleetOptions } from '@limpetbay/dev';
import { FleetCaller } from '../fleet/FleetCaller.js';
import type { Bench } from '../report/Bench.js';
import { createResult } from '../report/createResult.js';

const CALLERS = 24;
const SEED = 0;

/** Replaces every agent and every entry of a fleet while callers use it. */
async function replaceAll(fleet: DevFleet): Promise<void> {
  const half = fleet.engines.ranks.length / 2;
  for (let index = 0; index < half; index += 1) {
    await Promise.all(
      [index, index + half].map((rank) =>
        fleet.replaceAgent(`canerota-${rank}`, 'canerota', fleet.engines.ranks[rank]!.origin),
      ),
    );
  }
  for (const [index, service] of fleet.services.entries()) {
    await fleet.replaceAgent(`bookings-${index}`, 'bookings', service.origin);
  }
  for (const id of [...fleet.entries.keys()]) await fleet.replaceEntry(id, id.split('-')[1]!);
}

/** Rolling replacement of all processes under load. */
export const rolling: Bench = {
  name: 'rolling',
  deterministic: false,
  run: async () => {
    const fleet = new DevFleet({
      ...defaultFleetOptions,
      logLevel: 'silent',
      stepMs: 10,
      addressTtlMs: 1000,
      leaveMs: 1000,
    });
    await fleet.start();
    const seedUrl = [...fleet.entries.values()][0]!.url;
    const callers: FleetCaller[] = [];
    for (let index = 0; index < CALLERS; index += 1) {
      const kind = index % 4 === 0 ? 'booking' : 'chat';
      callers.push(new FleetCaller({ seedUrl, name: `caller-${index}`, kind, maxTokens: 20 }));
    }
    const runs = callers.map((caller) => caller.run());
    await replaceAll(fleet);
    for (const caller of callers) caller.stop();
    await Promise.all(runs);
    await fleet.stop();
    let completed = 0;
    let notRun = 0;
    let failed = 0;
    for (const caller of callers) {
      completed += caller.completed;
      notRun += caller.notRun;
      for (const [reason, count] of caller.failures) {
        failed += count;
        process.stderr.write(`rolling: ${count} x ${reason}\n`);
      }
    }
    const doubled = [...fleet.runsByBooking.values()].filter((runCount) => runCount > 1).length;
    return [
      createResult('rolling.failed', SEED, failed, 'requests'),
      createResult('rolling.doubled', SEED, doubled, 'bookings'),
      createResult('rolling.completed', SEED, completed, 'requests'),
      createResult('rolling.not_run', SEED, notRun, 'requests'),
    ];
  },
};
