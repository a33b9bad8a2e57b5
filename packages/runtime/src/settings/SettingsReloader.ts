import { statSync } from 'node:fs';
import { fail, type Failure } from '@limpetbay/core';
import type { Log } from '../log/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { LoadedSettings } from './LoadedSettings.js';
import type { SettingChange } from './SettingChange.js';
import type { SettingsFormat } from './SettingsFormat.js';
import { checkSettings } from './checkSettings.js';
import { listSettingChanges } from './listSettingChanges.js';
import { readSettingsText } from './readSettingsText.js';

interface SettingsReloaderOptions<Settings> {
  readonly file: string;
  readonly format: SettingsFormat<Settings>;
  /** Settings with which the program starts. */
  readonly initial: LoadedSettings<Settings>;
  readonly log: Log;
  readonly metrics: MetricRegistry;
}

/** Interval at which the file is examined; it may also change without a signal. */
const POLL_INTERVAL_MS = 500;

/**
 * Keeps the settings of a running program in step with their file. A changed file is checked whole,
 * once it has stayed the same for one interval, since a reader may meet it half written. Then the
 * live settings change together, and the others are logged as waiting for a restart. While the
 * file is wrong or missing, all settings stay as they are.
 */
export class SettingsReloader<Settings> {
  readonly #options: SettingsReloaderOptions<Settings>;

  /** Values in force by name. */
  #values: ReadonlyMap<string, unknown>;

  /** Number of the settings in force; 1 at the start. */
  #version = 1;

  /** What the last read of the file returned: its text, or why it failed. */
  #lastRead: string;

  /** A read that differs from the last one and may be half of a write. */
  #unsettledRead: string | null = null;

  /** Why the last read was refused; null if it was accepted. */
  #refusal: Failure | null = null;

  /** State of the file at the last poll; null before the first. */
  #fingerprint: string | null = null;

  #isRequested = false;

  #timer: NodeJS.Timeout | null = null;

  constructor(options: SettingsReloaderOptions<Settings>) {
    this.#options = options;
    this.#values = options.initial.values;
    this.#lastRead = options.initial.text;
    options.metrics.register('limpetbay_settings_version', () => this.#version);
  }

  /** Follows the file from now on. @param apply called with the settings after each change */
  start(apply: (settings: Settings) => void): void {
    this.#timer = setInterval(() => this.#poll(apply), POLL_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Requests that the file is read at the next interval, even if it looks unchanged. */
  request(): void {
    this.#isRequested = true;
  }

  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
  }

  #poll(apply: (settings: Settings) => void): void {
    const isRequested = this.#isRequested;
    this.#isRequested = false;
    const fingerprint = computeFingerprint(this.#options.file);
    const mayDiffer = isRequested || this.#unsettledRead !== null;
    if (!mayDiffer && fingerprint === this.#fingerprint) return;
    this.#fingerprint = fingerprint;
    const text = readSettingsText(this.#options.file);
    const read = text.err ? text.val.message : text.val;
    if (read === this.#lastRead) {
      this.#unsettledRead = null;
      if (isRequested) this.#reportUnchanged();
    } else if (read !== this.#unsettledRead) this.#unsettledRead = read;
    else {
      this.#unsettledRead = null;
      this.#lastRead = read;
      this.#refusal = null;
      if (text.err) this.#refuse(text.val);
      else this.#load(text.val, apply);
    }
  }

  #load(text: string, apply: (settings: Settings) => void): void {
    const { file, format, initial, log, metrics } = this.#options;
    if (initial.text.endsWith('\n') && !text.endsWith('\n')) {
      this.#refuse(fail('invalid_setting', `${file}: the last line is not complete`).val);
      return;
    }
    const loaded = checkSettings(format, text, file);
    if (loaded.err) {
      this.#refuse(loaded.val);
      return;
    }
    const merged = new Map(this.#values);
    const live: SettingChange[] = [];
    const waiting: SettingChange[] = [];
    for (const change of listSettingChanges(this.#values, loaded.val.values)) {
      const { name, to } = change;
      // A setting that is missing may be lost with a half of the file; its default must wait.
      const isLive = format.isLive(name) && to !== null;
      (isLive ? live : waiting).push(change);
      if (isLive) merged.set(name, loaded.val.values.get(name));
    }
    if (waiting.length > 0) log.warn('changed settings need a restart', { file, changes: waiting });
    if (live.length === 0) {
      if (waiting.length === 0) this.#reportUnchanged();
      return;
    }
    const settings = format.check(merged, file);
    if (settings.err) {
      this.#refuse(settings.val);
      return;
    }
    apply(settings.val);
    this.#values = merged;
    this.#version += 1;
    metrics.increase('limpetbay_settings_reloads_total{result="applied"}');
    log.report('settings applied', { file, version: this.#version, changes: live });
  }

  #reportUnchanged(): void {
    const { file, log } = this.#options;
    if (this.#refusal !== null) this.#refuse(this.#refusal);
    else log.report('settings unchanged', { file, version: this.#version });
  }

  #refuse(failure: Failure): void {
    const { file, log, metrics } = this.#options;
    this.#refusal = failure;
    metrics.increase('limpetbay_settings_reloads_total{result="refused"}');
    log.alert('settings refused; those in force stay', {
      file,
      version: this.#version,
      cause: failure.message,
    });
  }
}

/** Identifies the content of a file without reading it. */
function computeFingerprint(file: string): string {
  try {
    const { ino, size, mtimeNs } = statSync(file, { bigint: true });
    return `${ino} ${size} ${mtimeNs}`;
  } catch (error) {
    return (error as Error).message;
  }
}
