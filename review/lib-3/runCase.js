import { Deployment } from './Deployment.js';
import { Recorder } from './Recorder.js';

const BROKEN = 1;

const NOT_RUN = 2;

/** The users allow 120 s. */
const MAX_RUN_MS = 115_000;

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, and 2 if the case
 * could not run.
 *
 * @param folder `import.meta.url` of the case
 * @param run gets the deployment, the recorder and whether the disruption is played; returns the
 *   violations as texts
 */
export async function runCase(folder, run) {
  const deployment = new Deployment();
  const recorder = new Recorder(folder);
  const hasTrouble = process.env.TROUBLE !== '0';
  let status = NOT_RUN;
  const closers = [];
  const timer = setTimeout(() => {
    recorder.print('not run: the time is over');
    void finish();
  }, MAX_RUN_MS);
  const finish = async () => {
    clearTimeout(timer);
    for (const close of closers) close();
    await deployment.close();
    recorder.write();
    process.exit(status);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => void finish());
  try {
    const violations = await run({
      deployment,
      recorder,
      hasTrouble,
      addCloser: (close) => closers.push(close),
    });
    for (const text of violations.slice(0, 20)) recorder.print(`broken: ${text}`);
    recorder.print(`${violations.length} violations, disruption ${hasTrouble ? 'played' : 'off'}`);
    status = violations.length > 0 ? BROKEN : 0;
  } catch (error) {
    recorder.print(`not run: ${error.stack}`);
  }
  await finish();
}
