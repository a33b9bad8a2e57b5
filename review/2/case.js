import { Agent } from 'node:http';
import { buildConfig } from '../lib/buildConfig.js';
import { buildRegistration } from '../lib/buildRegistration.js';
import { callEntry } from '../lib/callEntry.js';
import { createStore } from '../lib/createStore.js';
import { createWorker } from '../lib/createWorker.js';
import { runCase } from '../lib/runCase.js';
import { sleep } from '../lib/sleep.js';
import { startBadWorker } from '../lib/startBadWorker.js';

/** Clients of each entry that look something up, each on one channel that it keeps. */
const CLIENTS = 12;

/** Mean pause of a client between two requests, milliseconds. */
const PAUSE_MS = 150;

/** Notes that are taken at once, and answers to them that have no end. */
const NOTES = 9;
const ENDLESS_ANSWERS = 3;

const WORK_MS = 30;
const BEFORE_MS = 3000;
const AFTER_MS = 9000;

/** Time limit of the clients; longer than the timeout of the route, so that they see it pass. */
const LIMIT_MS = 2500;

const ROUTE_TIMEOUT_MS = 1000;

/** Time after the timeout of a route within which the rule CONFIG asks for an answer. */
const ANSWER_SLACK_MS = 500;

/** Requests without an answer from which on the rule counts, whatever their share. */
const MIN_UNANSWERED = 8;

async function run(deployment, isTroubled) {
  const store = await createStore(deployment.assignHost());
  const bad = await startBadWorker(deployment, 'worker-bad');
  const workers = [bad];
  for (const id of ['worker-1', 'worker-2']) {
    workers.push(await createWorker({ host: deployment.assignHost(), id, workMs: WORK_MS }));
  }
  for (const { id, address } of workers) store.put(`servers/${id}`, buildRegistration(address));
  store.put('op/config', buildConfig(1));
  const entries = [];
  for (const name of ['front-1', 'front-2']) {
    entries.push(await deployment.startMachine('entry', name, store));
  }
  for (const entry of entries) await deployment.waitUntilReady(entry);
  const addresses = entries.map(({ host, ports }) => `${host}:${ports.front}`);

  let isOver = false;
  const answers = [];
  const lookUp = async (address) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isOver) {
      const answer = await callEntry({
        address,
        path: '/lookup/a',
        agent,
        limitMs: LIMIT_MS,
        patienceMs: LIMIT_MS,
      });
      answers.push(answer);
      const { id, status, outcome, cause, startMs, endMs } = answer;
      if (status !== 200) {
        const ms = Math.round(endMs - startMs);
        deployment.record(`lookup ${id}: ${outcome} ${status ?? cause} after ${ms} ms`);
      }
      await sleep(PAUSE_MS * (0.5 + Math.random()));
    }
    agent.destroy();
  };
  const clients = addresses.flatMap((address) =>
    Array.from({ length: CLIENTS }, () => lookUp(address)),
  );
  await sleep(BEFORE_MS);
  const takeNote = async (address) => {
    const note = await callEntry({ address, path: '/note/a', method: 'POST', limitMs: 8000 });
    const ms = Math.round(note.endMs - note.startMs);
    deployment.record(`note ${note.id}: ${note.outcome} ${note.status ?? note.cause}, ${ms} ms`);
  };
  for (const address of addresses) {
    for (let answer = 0; isTroubled && answer < ENDLESS_ANSWERS; answer += 1) {
      bad.plan('event', '/note/');
    }
    await Promise.all(Array.from({ length: NOTES }, () => takeNote(address)));
  }
  await sleep(isTroubled ? AFTER_MS : 1000);
  isOver = true;
  await Promise.all(clients);
  store.close();
  const isAnsweredBy = ({ outcome, startMs, endMs }, ms) =>
    outcome !== 'gave up' && endMs - startMs <= ms;
  const late = answers.filter((answer) => !isAnsweredBy(answer, ROUTE_TIMEOUT_MS));
  const unanswered = late.filter(
    (answer) => !isAnsweredBy(answer, ROUTE_TIMEOUT_MS + ANSWER_SLACK_MS),
  );
  const longestMs = Math.max(...answers.map(({ startMs, endMs }) => Math.round(endMs - startMs)));
  return {
    isBroken: unanswered.length >= MIN_UNANSWERED && unanswered.length > late.length / 2,
    summary:
      `${answers.length} lookups; ${late.length} were unanswered at the timeout of their route, ` +
      `${unanswered.length} of these also ${ANSWER_SLACK_MS} ms later (half allowed); longest ` +
      `${longestMs} ms`,
  };
}

await runCase(new URL('record.txt', import.meta.url).pathname, run);
