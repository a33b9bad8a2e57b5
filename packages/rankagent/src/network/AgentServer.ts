import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AgentCalls } from '../ports/AgentCalls.js';
import { OrderRequest } from '../ports/OrderRequest.js';

interface AgentServerOptions {
  readonly host: string;
  readonly port: number;
  readonly calls: AgentCalls;
}

/** HTTP server through which the planner of the group calls this agent. */
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
      const held = await this.#options.calls.readHeld();
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
    const reply = await this.#options.calls.order(call.order, call.epoch);
    if (reply.ok) writeJson(response, 200, reply.val);
    else writeJson(response, 502, reply.val);
  }
}

function writeJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
