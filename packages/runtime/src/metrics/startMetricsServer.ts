import { createServer } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import type { AddressBinder } from '../network/AddressBinder.js';
import { RealClock } from '../clock/RealClock.js';
import { InputLimits } from '../network/InputLimits.js';
import { bindServer } from '../network/bindServer.js';
import type { MetricRegistry } from './MetricRegistry.js';

/** Answers a query of operators. @returns null for an unknown path */
type QueryHandler = (
  path: string,
  headers: IncomingHttpHeaders,
) => { readonly status: number; readonly body: object } | null;

interface MetricsServer {
  close(): void;
}

/**
 * Starts an HTTP server for `GET /metrics` and `GET /healthz`, for processes that have no other HTTP
 * server. An address that is in use is tried again in the background.
 *
 * @param port port to listen on; 0 selects a free port
 * @param describeHealth returns whether the process accepts new work (status 200, else 503), and the
 *   JSON body of `/healthz`
 * @param inputs limits what callers hold by their connections; its own by default
 * @param answerQuery answers `GET` of other paths, given with their query; 404 by default
 * @throws the error of the bind if it is not expected to pass
 */
export async function startMetricsServer(
  binder: AddressBinder,
  host: string,
  port: number,
  metrics: MetricRegistry,
  describeHealth: () => { readonly ready: boolean; readonly body: object },
  inputs = new InputLimits({ clock: new RealClock() }),
  answerQuery: QueryHandler = () => null,
): Promise<MetricsServer> {
  const server = createServer((request, response) => {
    if (request.method === 'GET' && request.url === '/metrics') {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
      response.end(metrics.format());
    } else if (request.method === 'GET' && request.url === '/healthz') {
      const { ready, body } = describeHealth();
      response.writeHead(ready ? 200 : 503, { 'content-type': 'application/json' });
      response.end(`${JSON.stringify(body)}\n`);
    } else {
      const { method, url = '/', headers } = request;
      const answer = method === 'GET' ? answerQuery(url, headers) : null;
      if (answer === null) {
        response.writeHead(404).end();
        return;
      }
      response.writeHead(answer.status, { 'content-type': 'application/json' });
      response.end(`${JSON.stringify(answer.body)}\n`);
    }
  });
  inputs.attachServer(server, 'metrics');
  await binder.bind({
    name: 'metrics',
    address: `${host}:${port}`,
    bind: (onError) => bindServer(server, host, port, onError),
  });
  return {
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
