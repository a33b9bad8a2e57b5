import { Deployment } from './Deployment.js';

const BROKEN = 1;
const HELD = 0;
const NOT_RUN = 2;

/**
 * Runs a case and ends the process with 1 if the rule was broken, 0 if it held, and 2 if the case
 * could not run.
 *
 * @param recordFile file that gets the record of the run
 * @param run gets the deployment and whether there is a disruption; returns `isBroken` and `summary`
 */
export async function runCase(recordFile, run) {
  const deployment = new Deployment(recordFile);
  const end = (status) => {
    deployment.close();
    process.exit(status);
  };
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => end(NOT_RUN));
  try {
    const { isBroken, summary } = await run(deployment, process.env.TROUBLE !== '0');
    const verdict = `${isBroken ? 'rule broken' : 'rule held'}: ${summary}`;
    deployment.record(verdict);
    process.stdout.write(`${verdict}\n`);
    end(isBroken ? BROKEN : HELD);
  } catch (error) {
    deployment.record(`the case could not run: ${error.message}`);
    process.stderr.write(`${error.stack}\n`);
    end(NOT_RUN);
  }
}
