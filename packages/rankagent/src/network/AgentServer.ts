import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { BodyBuffer, decodeJson, type BodyBudget } from '@limpetbay/core';
import { bindServer, receiveBody } from '@limpetbay/runtime';
import type { AgentCalls } from '../ports/AgentCalls.js';
import { OrderRequest } from '../ports/OrderRequest.js';

interface AgentServerOptions {
  readonly host: string;
  readonly port: number;
  readonly calls: AgentCalls;
  /** Limits the memory of all incomplete bodies. */
  readonly bodyBudget: BodyBudget;
}

/** Larger than the map of the largest group. */
const MAX_BODY_BYTES = 16_777_216;

/** HTTP server through which the planner of the group calls this agent. */
export class AgentServer {
  readonly #options: AgentServerOptions;

  readonly #server: Server;

  constructor(options: AgentServerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      const refuse = (status: number): void => {
        if (response.headersSent) return;
        response.once('finish', () => response.destroy());
        writeJson(response, status, {});
      };
      const body = new BodyBuffer({
        maxBytes: MAX_BODY_BYTES,
        budget: options.bodyBudget,
        onEvicted: () => refuse(429),
      });
      response.on('close', () => body.clear());
      receiveBody(request, (chunk) => {
        if (response.headersSent || response.destroyed || body.append(chunk)) return;
        body.clear();
        refuse(413);
      });
      request.on('end', () => {
        if (!response.headersSent) void this.#serveRequest(request, response, body.take());
      });
    });
  }

  /**
   * Tries once to listen; may be called again if the address cannot be used.
   *
   * @param onError called for errors of the server while it listens
   * @throws if the address cannot be used
   */
  bind(onError: (error: Error) => void): Promise<void> {
    return bindServer(this.#server, this.#options.host, this.#options.port, onError);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): Promise<void> {
    try {
      await this.#handleRequest(request, response, body);
    } catch (error) {
      if (!response.headersSent) writeJson(response, 500, { cause: (error as Error).message });
    }
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
    const call = decodeJson(OrderRequest, body.toString());
    if (call.err) {
      writeJson(response, 400, { cause: call.val.message });
      return;
    }
    const reply = await this.#options.calls.order(call.val.order, call.val.epoch);
    if (reply.ok) writeJson(response, 200, reply.val);
    else writeJson(response, 502, reply.val);
  }
}

function writeJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
