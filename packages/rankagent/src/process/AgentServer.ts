import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { RankStatus } from '@limpetbay/core';
import { OrderRequest } from '../ports/OrderRequest.js';
import type { OrderReply } from '../ports/OrderReply.js';
import type { RankControl } from '../ports/RankControl.js';

interface AgentServerOptions {
  readonly host: string;
  readonly port: number;
  readonly rank: RankControl;
  /** Reads the current status of the rank; null if it does not answer. */
  readonly readStatus: () => Promise<RankStatus | null>;
}

/** HTTP server through which the planner of the group sends orders to this agent's rank. */
export class AgentServer {
  readonly #options: AgentServerOptions;

  readonly #server: Server;

  constructor(options: AgentServerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => void this.#handleRequest(request, response, Buffer.concat(chunks)));
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#options.port, this.#options.host, resolve);
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): Promise<void> {
    if (request.method === 'POST' && request.url === '/order') await this.#order(response, body);
    else if (request.method === 'GET' && request.url === '/held') {
      const held = await this.#options.rank.readHeld();
      if (held.ok) writeJson(response, 200, held.val);
      else writeJson(response, 502, held.val);
    } else writeJson(response, 404, {});
  }

  async #order(response: ServerResponse, body: Buffer): Promise<void> {
    let call: OrderRequest;
    try {
      call = OrderRequest.parse(JSON.parse(body.toString()));
    } catch (error) {
      writeJson(response, 400, { cause: (error as Error).message });
      return;
    }
    const answer = await this.#options.rank.order(call.order, call.epoch);
    const reply: OrderReply = { answer, status: await this.#options.readStatus() };
    writeJson(response, 200, reply);
  }
}

function writeJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
