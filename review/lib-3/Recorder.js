import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Writes what a case has sent, seen and found to `record.txt` in its folder. */
export class Recorder {
  #lines = [];

  #startMs = performance.now();

  #file;

  /** @param folder URL of the folder of the case */
  constructor(folder) {
    this.#file = join(new URL('.', folder).pathname, 'record.txt');
  }

  /** Returns a time of the steady clock as seconds of the run. */
  format(atMs) {
    return ((atMs - this.#startMs) / 1000).toFixed(3);
  }

  add(text, atMs = performance.now()) {
    this.#lines.push([atMs, text]);
  }

  print(text) {
    this.add(text);
    process.stdout.write(`${text}\n`);
  }

  /** Adds a line for each request: when it was sent, how it was answered and which workers ran it. */
  addTraffic(clients, workers) {
    const runs = new Map();
    for (const { arrivals } of workers) {
      for (const { id, worker, atMs, hasRun, hasEnded } of arrivals) {
        const state = hasEnded ? 'ran whole' : `${hasRun ? 'began to run' : 'got'}`;
        runs.set(id, [...(runs.get(id) ?? []), `${worker} ${state} at ${this.format(atMs)}`]);
      }
    }
    for (const { entry, requests } of clients) {
      for (const { id, path, sentMs, endMs, status, cause } of requests) {
        const end = endMs === null ? 'open' : `${status ?? '-'} ${cause} at ${this.format(endMs)}`;
        const run = (runs.get(id) ?? ['no worker got it']).join(', ');
        this.add(`${id} ${path} sent to ${entry.name}: ${end}; ${run}`, sentMs);
      }
    }
  }

  write() {
    const sorted = [...this.#lines].sort(([a], [b]) => a - b);
    const lines = sorted.map(([atMs, text]) => `${this.format(atMs).padStart(9)} ${text}\n`);
    writeFileSync(this.#file, lines.join(''));
  }
}
