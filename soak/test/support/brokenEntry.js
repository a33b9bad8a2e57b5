/*
 * A small entry with a fault: `node brokenEntry.js FAULT`. It passes each request to the first
 * registered target. Every fourth request meets the fault.
 */
import { readFileSync } from 'node:fs';
import { createServer, request as sendRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';

const [fault] = process.argv.slice(2);
const FAULT_EVERY = 4;
const STATUS_OK = 200;
const MEMORY_BYTES = 400 * 1024 * 1024;

const fields = new Map();
for (const line of readFileSync(process.env.LIMPETBAY_NODE_FILE, 'utf8').split('\n')) {
  const [name, value] = line.split('=');
  fields.set(name, value);
}

function getAddress(name) {
  const [host, port] = fields.get(name).split(':');
  return { host, port: Number(port) };
}

let firstTarget = null;

async function findTarget() {
  if (fault === 'stale' && firstTarget !== null) return firstTarget;
  const answer = await fetch(`http://${fields.get('platform.address')}/kv-range?prefix=servers/`);
  const { items } = await answer.json();
  const target = JSON.parse(Buffer.from(items[0].value, 'base64').toString());
  const [host, port] = target.address.split(':');
  firstTarget = { host, port: Number(port) };
  return firstTarget;
}

/** Passes a request to a target. @returns status, headers and body of its answer */
function forward(target, { method, url, headers }, body) {
  return new Promise((resolve, reject) => {
    const call = sendRequest({ ...target, method, path: url, headers }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => {
        const answer = { status: response.statusCode, headers: response.headers };
        resolve({ ...answer, body: Buffer.concat(chunks) });
      });
    });
    call.on('error', reject);
    call.end(body);
  });
}

let requests = 0;
let kept = null;

async function handle(request, response) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const body = Buffer.concat(chunks);
  requests += 1;
  const isDue = requests % FAULT_EVERY === 0;
  const target = await findTarget();
  const answer = await forward(target, request, body);
  if (isDue && fault === 'drop') request.socket.destroy();
  else if (isDue && fault === 'exit') process.exit(0);
  else if (isDue && fault === 'refuse') response.writeHead(503).end();
  else {
    if (isDue && fault === 'twice') await forward(target, request, body);
    if (isDue && fault === 'memory') kept ??= Buffer.alloc(MEMORY_BYTES, 1);
    const sent = isDue && fault === 'truncate' ? answer.body.subarray(1) : answer.body;
    const headers = { ...answer.headers, 'content-length': sent.length };
    delete headers['transfer-encoding'];
    response.writeHead(answer.status, headers).end(sent);
  }
}

process.on('SIGHUP', () => {});

const server = createServer((request, response) => {
  handle(request, response).catch(() => response.destroy());
});
server.listen(getAddress('listen.front'));
createTcpServer((socket) => {
  socket.on('error', () => {});
  const status = fault === 'unready' ? 503 : STATUS_OK;
  socket.end(`HTTP/1.1 ${status} OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
}).listen(getAddress('listen.ready'));
