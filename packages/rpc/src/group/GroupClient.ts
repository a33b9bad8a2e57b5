import { Client, credentials } from '@grpc/grpc-js';
import {
  Ok,
  PrepareReply,
  PromiseReply,
  RecoveryReply,
  decodeJson,
  fail,
  type Failure,
  type GroupPeers,
  type MapRecord,
  type PrepareRequest,
  type Result,
} from '@limpetbay/core';
import { channelOptions } from '../channel/channelOptions.js';
import { groupService } from './groupService.js';
import type { RecoveryRequest } from './RecoveryRequest.js';

const CALL_TIMEOUT_MS = 1000;

/** Calls the agents of the other ranks of a group. Each call times out after 1000 ms. */
export class GroupClient implements GroupPeers {
  readonly #group: string;

  readonly #findAddress: (rank: number) => string | null;

  readonly #clients = new Map<string, Client>();

  /** @param findAddress returns the `IP:PORT` of the agent of a rank, or null if it is unknown */
  constructor(group: string, findAddress: (rank: number) => string | null) {
    this.#group = group;
    this.#findAddress = findAddress;
  }

  async prepare(rank: number, request: PrepareRequest): Promise<Result<PrepareReply, Failure>> {
    const reply = await this.#call('Prepare', rank, request);
    return reply.ok ? decodeJson(PrepareReply, reply.val) : reply;
  }

  async promise(rank: number, record: MapRecord): Promise<Result<PromiseReply, Failure>> {
    const reply = await this.#call('Promise', rank, record);
    return reply.ok ? decodeJson(PromiseReply, reply.val) : reply;
  }

  async sendDecision(rank: number, record: MapRecord): Promise<Result<void, Failure>> {
    const reply = await this.#call('Tell', rank, record);
    return reply.ok ? Ok(undefined) : reply;
  }

  async requestRecovery(
    rank: number,
    recoveringRank: RecoveryRequest,
  ): Promise<Result<RecoveryReply, Failure>> {
    const reply = await this.#call('Ask', rank, recoveringRank);
    return reply.ok ? decodeJson(RecoveryReply, reply.val) : reply;
  }

  close(): void {
    for (const client of this.#clients.values()) client.close();
    this.#clients.clear();
  }

  #call(method: string, rank: number, body: object): Promise<Result<string, Failure>> {
    const address = this.#findAddress(rank);
    if (address === null) {
      return Promise.resolve(fail('no_target', `the agent address of rank ${rank} is unknown`));
    }
    const { path, requestSerialize, responseDeserialize } = groupService[method]!;
    const request = { group: this.#group, rank, body: JSON.stringify(body) };
    return new Promise((resolve) => {
      this.#getClient(address).makeUnaryRequest(
        path,
        requestSerialize,
        responseDeserialize as (bytes: Buffer) => { served: boolean; body: string },
        request,
        { deadline: Date.now() + CALL_TIMEOUT_MS },
        (error, reply) => {
          if (reply?.served === true) resolve(Ok(reply.body));
          else resolve(fail('no_target', `rank ${rank}: ${error?.details ?? 'not served there'}`));
        },
      );
    });
  }

  #getClient(address: string): Client {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = new Client(address, credentials.createInsecure(), channelOptions);
      this.#clients.set(address, client);
    }
    return client;
  }
}
