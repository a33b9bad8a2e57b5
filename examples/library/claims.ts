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

/** The ledger of one agent; both agents of the service share the store. */
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

/** Lets 10 ms pass: the store answers and the ledgers write what is due. */
async function advance(): Promise<void> {
  clock.advance(10);
  store.tick();
  for (const ledger of ledgers) ledger.tick();
  await new Promise(setImmediate);
}

async function begin(ledger: ClaimLedger, body: string): Promise<Result<ClaimDecision, Failure>> {
  const answers: Result<ClaimDecision, Failure>[] = [];
  const claim = ledger.begin({
    workspace: Workspace.parse('estate-1'),
    key: 'gang-7',
    keyTimeMs: 0,
    bodyHash: hashRequest('POST', '/bookings', Buffer.from(body)),
    attemptId: 'r1/1',
    deadlineAtMs: clock.getNow() + 5000,
  });
  void claim.then((answer) => answers.push(answer));
  while (answers.length === 0) await advance();
  return answers[0]!;
}

function describe(answer: Result<ClaimDecision, Failure>): string {
  return answer.ok ? answer.val.type : answer.val.kind;
}

const first = await begin(ledgers[0], '{"id":"gang-7"}');
process.stdout.write(`first request: ${describe(first)}\n`);
const start = first.unwrap();
if (start.type === 'run') {
  // From here on the request may have run, and the claim is never withdrawn.
  ledgers[0].startRun(start.claim).unwrap();
  ledgers[0].complete(start.claim, { status: 201, headers: [], body: Buffer.from('booked') });
}
for (let round = 0; round < 20; round += 1) await advance();

const again = await begin(ledgers[1], '{"id":"gang-7"}');
process.stdout.write(`the same at the other agent: ${describe(again)}\n`);
const other = await begin(ledgers[1], '{"id":"gang-8"}');
process.stdout.write(`the key with another body: ${describe(other)}\n`);
