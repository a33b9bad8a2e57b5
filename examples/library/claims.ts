import {
  ClaimLedger,
  Incarnation,
  InstanceId,
  ManualClock,
  SeededRandom,
  ServiceName,
  Workspace,
  hashRequest,
  type ClaimDecision,
  type Failure,
  type Result,
} from '@limpetbay/core';
import { MemoryStore } from '@limpetbay/standins';

const clock = new ManualClock();
const store = new MemoryStore(clock, new SeededRandom(1));

/** Creates the ledger of one agent. Both agents of the service use the same store. */
function createLedger(instance: string): ClaimLedger {
  return new ClaimLedger({
    store,
    clock,
    random: new SeededRandom(2),
    service: ServiceName.parse('bookings'),
    owner: { instance: InstanceId.parse(instance), incarnation: Incarnation.parse(1) },
    owners: { hasEnded: () => false },
    writesPerSecond: 100,
  });
}

const ledgers = [createLedger('agent-0'), createLedger('agent-1')] as const;

/** Advances the clock by 10 ms; the store answers and the ledgers write pending records. */
async function advance(): Promise<void> {
  clock.advance(10);
  store.tick();
  for (const ledger of ledgers) ledger.tick();
  await new Promise(setImmediate);
}

/** Begins a keyed request at a ledger and waits for its decision. */
async function beginRequest(
  ledger: ClaimLedger,
  body: string,
): Promise<Result<ClaimDecision, Failure>> {
  const answers: Result<ClaimDecision, Failure>[] = [];
  const pending = ledger.begin({
    workspace: Workspace.parse('estate-1'),
    key: 'gang-7',
    keyTimeMs: 0,
    bodyHash: hashRequest('POST', '/bookings', Buffer.from(body)),
    attemptId: 'r1/1',
    deadlineAtMs: clock.getNow() + 5000,
  });
  void pending.then((answer) => answers.push(answer));
  while (answers.length === 0) await advance();
  return answers[0]!;
}

function describeAnswer(answer: Result<ClaimDecision, Failure>): string {
  return answer.ok ? answer.val.type : answer.val.kind;
}

const first = await beginRequest(ledgers[0], '{"id":"gang-7"}');
process.stdout.write(`first request: ${describeAnswer(first)}\n`);
const decision = first.unwrap();
if (decision.type === 'run') {
  // After startRun the request may have run, so the claim is never withdrawn.
  ledgers[0].startRun(decision.claim).unwrap();
  ledgers[0].complete(decision.claim, { status: 201, headers: [], body: Buffer.from('booked') });
}
for (let round = 0; round < 20; round += 1) await advance();

const repeated = await beginRequest(ledgers[1], '{"id":"gang-7"}');
process.stdout.write(`the same at the other agent: ${describeAnswer(repeated)}\n`);
const conflicting = await beginRequest(ledgers[1], '{"id":"gang-8"}');
process.stdout.write(`the key with another body: ${describeAnswer(conflicting)}\n`);
