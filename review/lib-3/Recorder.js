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

  write() {
    const sorted = [...this.#lines].sort(([a], [b]) => a - b);
    const lines = sorted.map(([atMs, text]) => `${this.format(atMs).padStart(9)} ${text}\n`);
    writeFileSync(this.#file, lines.join(''));
  }
}
