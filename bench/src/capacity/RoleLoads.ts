import type { RoleLoad } from './RoleLoad.js';
import { SlopeReader } from './SlopeReader.js';
import { designSize as size } from './designSize.js';
import { formatFigure } from './formatFigure.js';

type Resource = RoleLoad['resource'];

const SECONDS_PER_DAY = 86_400;
const processes = size.entries + size.workers;
const changeRate = size.changesPerDay / SECONDS_PER_DAY;
const restartsPerDay = size.restartsPerDay + size.failuresPerDay;
const tokensPerRequest = size.tokensPerSecond / size.requestsPerSecond;
const requestSeconds = (size.firstTokenMs + tokensPerRequest * size.stepMs) / 1000;
const inProgress = size.requestsPerSecond * requestSeconds;
/** Progress frames of one request: its stream is quiet only until the first token. */
const progressFrames = size.firstTokenMs / size.progressMs;
const listChanges = (2 * restartsPerDay) / SECONDS_PER_DAY;
const TICKS_PER_SECOND = 50;
/** Statements of one restart: leaving, gone, and live again. */
const VERSIONS_PER_RESTART = 3;
/** Bytes of one token's event, as in the measured frames. */
const EVENT_BYTES = 60;
const QUEUE_LENGTH = 128;
const DEADLINE_SECONDS = 30;
const OUTCOME_BYTES = 400;
/** Sample memory of `defaultClaimOptions`. */
const OUTCOME_MEMORY = 16_777_216;
/** Workspaces that `WorkspaceLimiter` tracks at most. */
const TRACKED = 2048;
/** Change interval of `PlacementPlanner` where no jump calls for more. */
const CHANGE_SECONDS = 45;
/** Interval of the expert counts. */
const CHECK_SECONDS = 10;

/** Computes what each role costs at the design size from the recorded slopes. */
export class RoleLoads {
  readonly #slopes: SlopeReader;

  constructor(slopes: SlopeReader) {
    this.#slopes = slopes;
  }

  listEntry(): RoleLoad[] {
    const requests = size.requestsPerSecond / size.entries;
    const streams = inProgress / size.entries;
    const tokens = size.tokensPerSecond / size.entries;
    const versions = changeRate + (VERSIONS_PER_RESTART * restartsPerDay) / SECONDS_PER_DAY;
    return [
      this.#one('decisions of a request', 'entry.request', requests, 'core', 'requests/s'),
      this.#line('new set of targets', 'entry.update', size.workers, versions, 'core', 'changes/s'),
      this.#one('progress frames', 'path.frame', requests * progressFrames, 'core', 'frames/s'),
      ...this.#listFollower(),
      this.#line('targets known', 'entry.target-memory', size.workers, 1, 'memory', ''),
      this.#one('requests in progress', 'entry.request-memory', streams, 'memory', 'requests'),
      this.#one('workspaces tracked', 'entry.workspace-memory', TRACKED, 'memory', 'workspaces'),
      this.#packets('load reports', 'wire.load', requests, 0, 'answers/s'),
      {
        figure: 'pings of idle channels',
        cost: `${size.pingBytes} bytes per ping and answer, every ${size.pingSeconds} s`,
        load: `${size.channelsPerEntry} channels`,
        resource: 'network',
        product: (size.channelsPerEntry * size.pingBytes) / size.pingSeconds,
        isControl: true,
      },
      this.#packets('progress frames', 'wire.progress', requests * progressFrames, 1, 'frames/s'),
      this.#answers('requests sent and ended', 'path.request', requests, 'requests/s'),
      this.#answers('answer frames', 'path.frame', tokens, 'frames/s'),
      this.#answerBytes(tokens),
    ];
  }

  listAgent(): RoleLoad[] {
    const requests = size.requestsPerSecond / size.workers;
    const tokens = size.tokensPerSecond / size.workers;
    const remembered = requests * DEADLINE_SECONDS;
    return [
      this.#one('admission of an attempt', 'agent.attempt', requests, 'core', 'attempts/s'),
      this.#one('ticks', 'agent.tick', TICKS_PER_SECOND, 'core', 'ticks/s'),
      this.#one('progress frames', 'path.frame', requests * progressFrames, 'core', 'frames/s'),
      ...this.#listFollower(),
      this.#one('attempts remembered', 'agent.attempt-memory', remembered, 'memory', 'attempts'),
      this.#one('queue', 'agent.queue-memory', QUEUE_LENGTH, 'memory', 'items'),
      this.#packets('load reports', 'wire.load', requests, 0, 'answers/s'),
      this.#packets('progress frames', 'wire.progress', requests * progressFrames, 1, 'frames/s'),
      this.#answers('requests taken and ended', 'path.request', requests, 'requests/s'),
      this.#answers('answer frames', 'path.frame', tokens, 'frames/s'),
      this.#answerBytes(tokens),
    ];
  }

  /** What planning adds to its agent. */
  listPlanner(): RoleLoad[] {
    const { ranks } = size;
    const perSecond = 1 / CHANGE_SECONDS;
    const bytes = this.#slopes.estimate('planner.bytes', ranks) * ranks;
    const messages = this.#slopes.estimate('planner.messages', ranks);
    return [
      this.#one('plans', 'planner.plan-256', perSecond, 'core', 'plans/s (one every 45 s)'),
      this.#line('checks', 'planner.check', ranks, 1 / CHECK_SECONDS, 'core', 'checks/s'),
      this.#line('loads, maps, record', 'planner.memory', ranks, 1, 'memory', ''),
      {
        figure: 'map switch, one map for all layers',
        cost: `${this.#slopes.describe('planner.bytes')}, times ${ranks} ranks`,
        load: `a switch every 45 s; ${formatFigure(messages)} messages each`,
        resource: 'network',
        product: (bytes + messages * size.packetBytes) * perSecond,
        isControl: true,
      },
    ];
  }

  listPlain(): RoleLoad[] {
    const keyed = size.keyedPerSecond / size.plainAgents;
    const remembered = keyed * size.rememberedSeconds;
    const claimBytes = this.#slopes.estimate('store.claim-bytes', OUTCOME_BYTES);
    return [
      this.#one('admission of an attempt', 'agent.attempt', keyed, 'core', 'attempts/s'),
      this.#one('ticks', 'agent.tick', TICKS_PER_SECOND, 'core', 'ticks/s'),
      ...this.#listFollower(),
      this.#one('attempts remembered', 'agent.attempt-memory', remembered, 'memory', 'attempts'),
      this.#one('queue', 'agent.queue-memory', QUEUE_LENGTH, 'memory', 'items'),
      {
        figure: 'recent outcomes',
        cost: 'limit `cacheBytes` of the claim ledger',
        load: 'when full',
        resource: 'memory',
        product: OUTCOME_MEMORY,
        isControl: true,
      },
      this.#packets('load reports', 'wire.load', keyed, 0, 'answers/s'),
      {
        figure: 'claims and outcomes written',
        cost: this.#slopes.describe('store.claim-bytes'),
        load: `${formatFigure(keyed)} keyed requests/s, outcomes of ${OUTCOME_BYTES} bytes`,
        resource: 'network',
        product: keyed * claimBytes,
        isControl: true,
      },
    ];
  }

  /** What relaying to the mean number of followers adds to a process. */
  listRelay(): RoleLoad[] {
    const { followersPerRelay: followers } = size;
    return [
      this.#one('serving followers', 'relay.follower-time', followers, 'core', 'followers'),
      ...this.#listFeed(followers, 'followers'),
    ];
  }

  /** What reading the instance list adds to a relay that watches the store. */
  listWatching(): RoleLoad[] {
    const load = 'changes/s';
    const checks = 1 / size.listIntervalSeconds;
    return [
      ...this.listRelay(),
      this.#line('list: parse and apply', 'list.read-time', processes, listChanges, 'core', load),
      this.#line('list: bytes received', 'list.read', processes, listChanges, 'network', load),
      {
        figure: 'list: conditional reads without a change',
        cost: `${size.listCheckBytes} bytes of headers`,
        load: `${formatFigure(checks)} reads/s`,
        resource: 'network',
        product: checks * size.listCheckBytes,
        isControl: true,
      },
    ];
  }

  /** What every process pays for following two relays. */
  #listFollower(): RoleLoad[] {
    const links = size.linksPerFollower;
    const { ranks } = size;
    return [
      this.#line('documents', 'relay.document-time', ranks, links * changeRate, 'core', 'copies/s'),
      this.#line('membership', 'membership.memory', processes, 1, 'memory', ''),
      ...this.#listFeed(links, 'relays followed'),
    ];
  }

  /** Bytes a second of heartbeats, documents and membership over a number of links. */
  #listFeed(links: number, noun: string): RoleLoad[] {
    const { ranks, packetBytes } = size;
    const document = this.#slopes.estimate('relay.document', ranks) + packetBytes;
    const restart = this.#slopes.estimateOne('relay.restart');
    const heartbeat = this.#slopes.estimateOne('relay.heartbeat') + 2 * packetBytes;
    return [
      {
        figure: 'heartbeats',
        cost: `${this.#slopes.describeOne('relay.heartbeat')}, 2 packets/s`,
        load: `${links} ${noun}`,
        resource: 'network',
        product: links * heartbeat,
        isControl: true,
      },
      {
        figure: 'documents',
        cost: this.#slopes.describe('relay.document'),
        load: `n = ${ranks} ranks, 3,500 changes a day, ${links} ${noun}`,
        resource: 'network',
        product: links * changeRate * document,
        isControl: true,
      },
      {
        figure: 'membership changes',
        cost: this.#slopes.describeOne('relay.restart'),
        load: `${restartsPerDay} restarts a day, ${links} ${noun}`,
        resource: 'network',
        product:
          (links * restartsPerDay * (restart + VERSIONS_PER_RESTART * packetBytes)) /
          SECONDS_PER_DAY,
        isControl: true,
      },
    ];
  }

  #one(figure: string, id: string, count: number, resource: Resource, noun: string): RoleLoad {
    return {
      figure,
      cost: this.#slopes.describeOne(id),
      load: `${formatFigure(count)} ${noun}`,
      resource,
      product: count * this.#slopes.estimateOne(id),
      isControl: true,
    };
  }

  #line(
    figure: string,
    id: string,
    count: number,
    rate: number,
    resource: Resource,
    noun: string,
  ): RoleLoad {
    const times = noun === '' ? '' : `, ${formatFigure(rate)} ${noun}`;
    return {
      figure,
      cost: this.#slopes.describe(id),
      load: `n = ${count.toLocaleString('en-US')}${times}`,
      resource,
      product: rate * this.#slopes.estimate(id, count),
      isControl: true,
    };
  }

  /** @param packets packets of their own for each; 0 where another frame carries the bytes */
  #packets(figure: string, id: string, rate: number, packets: number, noun: string): RoleLoad {
    const header = packets * size.packetBytes;
    return {
      figure,
      cost: `${this.#slopes.describeOne(id)}${header === 0 ? '' : ` + ${header} of packet`}`,
      load: `${formatFigure(rate)} ${noun}`,
      resource: 'network',
      product: rate * (this.#slopes.estimateOne(id) + header),
      isControl: true,
    };
  }

  #answers(figure: string, id: string, rate: number, noun: string): RoleLoad {
    return { ...this.#one(figure, id, rate, 'core', noun), isControl: false };
  }

  #answerBytes(tokens: number): RoleLoad {
    return {
      figure: 'answer frames',
      cost: `${this.#slopes.describe('wire.chunk')} + ${size.packetBytes} of packet`,
      load: `n = ${EVENT_BYTES}, ${formatFigure(tokens)} frames/s`,
      resource: 'network',
      product: tokens * (this.#slopes.estimate('wire.chunk', EVENT_BYTES) + size.packetBytes),
      isControl: false,
    };
  }
}
